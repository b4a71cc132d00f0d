"""What was in trouble when: only nodes out of trouble are held to bounds of time."""

import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

CONTACT_SECONDS = 3.0
"""Without trouble until a node is held to bounds of time: `notice_ms` of its settings."""
STORE = "store"
WORKERS = "workers"
HARNESS = "harness"
STOP = "planned stop"
FOREVER = float("inf")


@dataclass
class _Span:
    subject: str
    kind: str
    began: float
    ended: float = FOREVER


class Troubles:
    """Spans of trouble by subject: a node's name, the store, the workers, the soak itself."""

    def __init__(self) -> None:
        self._spans: list[_Span] = []

    def now(self) -> float:
        """Return the steady clock."""
        return time.monotonic()

    @contextmanager
    def span(self, subject: str, kind: str) -> Iterator[None]:
        """Note trouble while the block runs."""
        span = _Span(subject, kind, self.now())
        self._spans.append(span)
        try:
            yield
        finally:
            span.ended = self.now()

    def between(self, subjects: Iterable[str], began: float, ended: float) -> set[str]:
        """Return the kinds of trouble that any of the subjects had in a span of time."""
        wanted = set(subjects)
        return {
            span.kind
            for span in self._spans
            if span.subject in wanted and span.began <= ended and span.ended >= began
        }

    def in_touch(self, node: str) -> bool:
        """Tell whether a node is held to bounds of time now."""
        now = self.now()
        return not self.between((node, STORE, HARNESS), now - CONTACT_SECONDS, now)
