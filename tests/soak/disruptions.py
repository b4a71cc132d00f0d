"""Log of disruptions by time: only undisrupted nodes are held to time bounds."""

import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

SETTLING_SECONDS = 3.0
"""Time without disruption before a node is held to time bounds: `notice_ms` of its settings."""
STORE = "store"
WORKERS = "workers"
HARNESS = "harness"
STOP = "planned stop"
FOREVER = float("inf")


@dataclass
class _Span:
    subject: str
    kind: str
    started_at: float
    ended_at: float = FOREVER


class DisruptionLog:
    """Time spans of disruptions by subject: a node name, the store, the workers, the harness."""

    def __init__(self) -> None:
        self._spans: list[_Span] = []

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    @contextmanager
    def span(self, subject: str, kind: str) -> Iterator[None]:
        """Record a disruption that lasts as long as the block runs."""
        span = _Span(subject, kind, self.now())
        self._spans.append(span)
        try:
            yield
        finally:
            span.ended_at = self.now()

    def kinds_between(
        self, subjects: Iterable[str], started_at: float, ended_at: float
    ) -> set[str]:
        """Return the kinds of disruption that overlap a time span for any of the subjects."""
        requested = set(subjects)
        return {
            span.kind
            for span in self._spans
            if span.subject in requested
            and span.started_at <= ended_at
            and span.ended_at >= started_at
        }

    def is_undisrupted(self, node: str) -> bool:
        """Return whether a node is held to time bounds now."""
        now = self.now()
        return not self.kinds_between((node, STORE, HARNESS), now - SETTLING_SECONDS, now)
