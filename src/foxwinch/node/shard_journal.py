"""What the journal service asks of one shard's journal under one epoch."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from foxwinch.core.journal.configuration import Configuration
from foxwinch.core.journal.log import JournalLog
from foxwinch.node.interfaces import Appended
from foxwinch.node.shard_store import StoredShard
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown

COMMIT_SECONDS = 8.0
"""Longest wait for a commit; covers detection of a dead replica and the raise that replaces it."""
STALL_SECONDS = 1.5
"""When a record has waited so long, new ones are refused as not run in place of queueing up."""

FENCED_NOT_RUN = not_run(Reason.FENCED, "another node has taken the shard over", 0.1)
FENCED_UNKNOWN = outcome_unknown(Reason.FENCED, "another node took the shard over meanwhile")
NO_QUORUM_NOT_RUN = not_run(Reason.NO_QUORUM, "too few replicas and no table to commit in", 1.0)
NO_QUORUM_UNKNOWN = outcome_unknown(Reason.NO_QUORUM, "no majority confirmed in time")

Outcome = TypeVar("Outcome")


def settle(future: asyncio.Future[Outcome], outcome: Outcome) -> None:
    """Answer a waiter that has not been answered or cancelled."""
    if not future.done():
        future.set_result(outcome)


class ShardJournal(Protocol):
    """What the journal service asks of one shard's journal."""

    configuration: Configuration
    stored: StoredShard | None
    """The shard's row as this owner last wrote it; None when the table was down."""
    on_fenced: Callable[[], None]
    """Called when another node turns out to have taken over."""

    @property
    def log(self) -> JournalLog:
        """The log as this node holds it."""
        ...

    @property
    def committed_index(self) -> int:
        """Index of the last committed record."""
        ...

    @property
    def fenced(self) -> bool:
        """Whether another node is known to have taken over."""
        ...

    def start(self) -> None:
        """Start sending."""
        ...

    async def wait_active(self, seconds: float) -> bool:
        """Wait until the epoch is active; False when that did not happen in time."""
        ...

    async def append(self, payloads: Sequence[bytes]) -> Appended | Refused:
        """Commit records."""
        ...

    async def stop(self, outcome: Refused = FENCED_UNKNOWN) -> None:
        """Stop all tasks; whoever still waits is answered `outcome`."""
        ...
