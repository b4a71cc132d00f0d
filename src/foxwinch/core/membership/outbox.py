"""News that a node passes on a few times, the most important first."""

from dataclasses import dataclass


@dataclass(slots=True)
class _News:
    rank: int
    sent: int
    transmissions: int
    field: bytes
    order: int


class Outbox:
    """Items waiting to be piggybacked; each leaves after its number of transmissions."""

    def __init__(self) -> None:
        """Start empty."""
        self.enough = 1_000
        """Transmissions after which any item leaves: the number of receivers there are."""
        self._news: dict[str, _News] = {}
        self._offered = 0

    def __len__(self) -> int:
        """Return the number of items waiting."""
        return len(self._news)

    def offer(self, key: str, rank: int, field: bytes, transmissions: int) -> None:
        """Wait with `field`, in place of an older item under the same key."""
        self._offered += 1
        self._news[key] = _News(rank, 0, transmissions, field, self._offered)

    def drop(self, key: str) -> None:
        """Forget an item."""
        self._news.pop(key, None)

    def urgent(self, highest_rank: int) -> bool:
        """Tell whether an item of at most that rank waits."""
        return any(news.rank <= highest_rank for news in self._news.values())

    def take(self, room_bytes: float, highest_rank: int) -> list[bytes]:
        """Return fields that fit the room: lowest rank first, then least often sent."""
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
