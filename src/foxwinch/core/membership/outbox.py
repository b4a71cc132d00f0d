"""Queue of gossip updates, each retransmitted a limited number of times."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Update:
    rank: int
    sent: int
    transmissions: int
    field: bytes
    order: int


class Outbox:
    """Updates waiting to be piggybacked; each is removed after its number of transmissions."""

    def __init__(self) -> None:
        self.max_transmissions = 1_000
        """Upper bound on the transmissions of any update: the number of possible receivers."""
        self._updates: dict[str, _Update] = {}
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def offer(self, key: str, rank: int, field: bytes, transmissions: int) -> None:
        """Queue `field`, replacing an older update under the same key."""
        self._sequence += 1
        self._updates[key] = _Update(rank, 0, transmissions, field, self._sequence)

    def drop(self, key: str) -> None:
        """Remove the update under `key`, if any."""
        self._updates.pop(key, None)

    def has_urgent(self, highest_rank: int) -> bool:
        """Return whether an update of at most `highest_rank` is queued."""
        return any(update.rank <= highest_rank for update in self._updates.values())

    def take(self, room_bytes: float, highest_rank: int) -> list[bytes]:
        """Return the fields that fit into `room_bytes`, by rank and then by times sent."""
        if not self._updates or room_bytes <= 0:
            return []
        taken = []
        for key, update in sorted(self._updates.items(), key=_sort_key):
            if update.rank > highest_rank:
                break
            if len(update.field) > room_bytes:
                continue
            room_bytes -= len(update.field)
            taken.append(update.field)
            update.sent += 1
            if update.sent >= min(update.transmissions, self.max_transmissions):
                del self._updates[key]
        return taken


def _sort_key(item: tuple[str, _Update]) -> tuple[int, int, int]:
    update = item[1]
    return update.rank, update.sent, update.order
