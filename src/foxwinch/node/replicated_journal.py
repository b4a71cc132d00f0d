"""The journal of one shard under one epoch, committed on a majority of its replicas."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from foxwinch.clock import Clock
from foxwinch.core.journal.configuration import GroupMember
from foxwinch.core.journal.log import JournalLog
from foxwinch.core.journal.replica import ReplicaStatus, ShardReplica
from foxwinch.core.journal.writer import ReplicatedWriter, WriterMessage
from foxwinch.identifiers import NodeId
from foxwinch.log import EventLog
from foxwinch.node.interfaces import Appended
from foxwinch.node.replica_client import ReplicaClient
from foxwinch.node.shard_journal import (
    COMMIT_SECONDS,
    FENCED_NOT_RUN,
    FENCED_UNKNOWN,
    NO_QUORUM_NOT_RUN,
    NO_QUORUM_UNKNOWN,
    STALL_SECONDS,
    settle,
)
from foxwinch.node.takeover_service import TakenOver
from foxwinch.outcomes import Refused

log = EventLog("journal")

RESEND_SECONDS = 0.1
"""Pause after a lost message to a replica, with jitter."""

Waiting = list[tuple[int, asyncio.Future[Refused | None]]]
"""Index of the last record and future of each call that waits for a commit."""


@dataclass(slots=True)
class _Waiter:
    index: int
    since_seconds: float
    future: asyncio.Future[Refused | None]


class ReplicatedJournal:
    """Commits on a majority of the replicas; one sender for each of them."""

    def __init__(
        self,
        taken: TakenOver,
        this: NodeId,
        replica: ShardReplica,
        client: ReplicaClient,
        clock: Clock,
    ) -> None:
        """Install the recovered log on this node's own replica and start from it.

        Raises ValueError when the own replica has promised a higher epoch meanwhile.
        """
        self.configuration = taken.configuration
        self.stored = taken.stored
        self._shard = taken.shard
        self._client = client
        self._clock = clock
        self._replica = replica
        self._install_own(taken, replica)
        self._writer = ReplicatedWriter(
            taken.configuration.epoch, this, taken.configuration.group, replica
        )
        for node, answer in taken.answers.items():
            self._writer.hint(node, answer)
        self._others = [m for m in taken.configuration.group if m.node != this]
        self._wake = {member.node: asyncio.Event() for member in self._others}
        self._active = asyncio.Event()
        self._waiters: deque[_Waiter] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_fenced: Callable[[], None] = _nothing

    @property
    def log(self) -> JournalLog:
        """The log as this node holds it."""
        return self._replica.log

    @property
    def committed_index(self) -> int:
        """Index of the last committed record."""
        return self._writer.committed_index

    @property
    def fenced(self) -> bool:
        """Whether another node is known to have taken over."""
        return self._writer.fenced

    def lag_records(self) -> dict[NodeId, int]:
        """Return how many records each other replica lacks."""
        return self._writer.lag_records()

    def start(self) -> None:
        """Start one sender for each other replica."""
        for member in self._others:
            self._keep(asyncio.get_running_loop().create_task(self._send_to(member)))
        self._after_progress()

    async def wait_active(self, seconds: float) -> bool:
        """Wait until a majority holds the recovered log."""
        try:
            async with asyncio.timeout(seconds):
                await self._active.wait()
        except TimeoutError:
            return False
        return not self.fenced

    async def append(self, payloads: Sequence[bytes]) -> Appended | Refused:
        """Commit records; they share messages with those of concurrent calls."""
        now = self._clock.monotonic()
        if self._waiters and now - self._waiters[0].since_seconds > STALL_SECONDS:
            return NO_QUORUM_NOT_RUN
        index = self._writer.submit(payloads)
        if index is None:
            return FENCED_NOT_RUN
        if self._writer.committed_index >= index:
            return Appended(index)
        waiter = _Waiter(index, now, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self._wake_senders()
        try:
            async with asyncio.timeout(COMMIT_SECONDS):
                outcome = await waiter.future
        except TimeoutError:
            return NO_QUORUM_UNKNOWN
        return Appended(index) if outcome is None else outcome

    def compacted(self) -> None:
        """Tell the replicas of a snapshot that the own replica has taken."""
        self._wake_senders()

    async def stop(self, outcome: Refused = FENCED_UNKNOWN) -> None:
        """Stop all senders and answer whoever still waits."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._answer_waiters(outcome)

    async def pause(self) -> Waiting:
        """Stop sending; return who waits, for the journal under this node's next epoch."""
        for task in list(self._tasks):
            task.cancel()
        waiting = [(waiter.index, waiter.future) for waiter in self._waiters]
        self._waiters.clear()
        return waiting

    def adopt_waiters(self, waiting: Waiting) -> None:
        """Answer those who waited for the journal of this node's epoch before."""
        now = self._clock.monotonic()
        for index, future in waiting:
            if index > self._writer.last_index:
                settle(future, NO_QUORUM_UNKNOWN)
            else:
                self._waiters.append(_Waiter(index, now, future))
        self._after_progress()

    def _install_own(self, taken: TakenOver, replica: ShardReplica) -> None:
        recovered = taken.recovered
        answer = replica.install(
            taken.configuration.epoch,
            taken.configuration.group,
            None,
            recovered.snapshot,
            recovered.after(recovered.snapshot.index),
        )
        if answer.status is not ReplicaStatus.ACCEPTED:
            raise ValueError("the own replica has promised a higher epoch")

    async def _send_to(self, member: GroupMember) -> None:
        wake = self._wake[member.node]
        while not self.fenced:
            message = self._writer.next_message(member.node)
            if message is None:
                await wake.wait()
                wake.clear()
                continue
            self._keep(asyncio.get_running_loop().create_task(self._send(member, message)))

    async def _send(self, member: GroupMember, message: WriterMessage) -> None:
        answer = await self._client.write(self._shard, member, message)
        if answer is None or answer.status in (ReplicaStatus.FULL, ReplicaStatus.OTHER_NODE):
            await self._clock.sleep(RESEND_SECONDS * (0.5 + self._clock.uniform()))
        self._writer.on_answer(member.node, message, answer)
        self._after_progress()
        self._wake[member.node].set()

    def _after_progress(self) -> None:
        while self._waiters and self._waiters[0].index <= self._writer.committed_index:
            settle(self._waiters.popleft().future, None)
        if self._writer.active:
            self._active.set()
        if self.fenced:
            self._active.set()
            self._answer_waiters(FENCED_UNKNOWN)
            self.on_fenced()

    def _answer_waiters(self, outcome: Refused) -> None:
        while self._waiters:
            settle(self._waiters.popleft().future, outcome)

    def _wake_senders(self) -> None:
        for event in self._wake.values():
            event.set()

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("sender_failed", shard=self._shard, error=repr(task.exception()))


def _nothing() -> None:
    """Stand for a listener that nobody has set."""
