"""Queue of gossip updates, each retransmitted a limited number of times."""

from dataclasses import dataclass


@dataclass(slots=True)
class _News:
    rank: int
    sent: int
    transmissions: int
    field: bytes
    order: int


class Outbox:
    """Updates waiting to be piggybacked; each is removed after its number of transmissions."""

    def __init__(self) -> None:
        self.enough = 1_000
        """Upper bound on the transmissions of any update: the number of possible receivers."""
        self._news: dict[str, _News] = {}
        self._offered = 0

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._news)

    def offer(self, key: str, rank: int, field: bytes, transmissions: int) -> None:
        """Queue `field`, replacing an older update under the same key."""
        self._offered += 1
        self._news[key] = _News(rank, 0, transmissions, field, self._offered)

    def drop(self, key: str) -> None:
        """Remove the update under `key`, if any."""
        self._news.pop(key, None)

    def urgent(self, highest_rank: int) -> bool:
        """Return whether an update of at most `highest_rank` is queued."""
        return any(news.rank <= highest_rank for news in self._news.values())

    def take(self, room_bytes: float, highest_rank: int) -> list[bytes]:
        """Return the fields that fit into `room_bytes`, by rank and then by times sent."""
        if not self._news or room_bytes <= 0:
            return []
        taken = []
        for key, news in sorted(self._news.items(), key=_precedence):
            if news.rank > highest_rank:
                break
            if len(news.field) > room_bytes:
                continue
            room_bytes -= len(news.field)
            taken.append(news.field)
            news.sent += 1
            if news.sent >= min(news.transmissions, self.enough):
                del self._news[key]
        return taken


def _precedence(item: tuple[str, _News]) -> tuple[int, int, int]:
    news = item[1]
    return news.rank, news.sent, news.order
