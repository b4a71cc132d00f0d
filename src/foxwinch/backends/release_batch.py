"""Batching of releases to one engine within one iteration of the event loop.

Many small programs end at the same time on a busy node, and one request each would cost the engine
and the node as much as the calls themselves. The first caller sends the request for all others;
there is no background task and no delay.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from foxwinch.backends.ports import Completed
from foxwinch.identifiers import ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, outcome_unknown

MAX_PROGRAMS = 256
"""Maximum number of programs in one request: at most about 40 kB, which every engine accepts."""
CANCELLED = outcome_unknown(Reason.BACKEND_FAILED, "the release request was cancelled")
SendReleases = Callable[[WorkerId, Sequence[ProgramId]], Awaitable[Completed | Refused]]


class _Batch:
    def __init__(self) -> None:
        self.programs: list[ProgramId] = []
        self.outcome: asyncio.Future[Completed | Refused] = (
            asyncio.get_running_loop().create_future()
        )


class ReleaseBatcher:
    """Releases waiting to be sent, one batch per worker."""

    def __init__(self, send: SendReleases) -> None:
        """Send batches with `send`, which receives 1 to `MAX_PROGRAMS` programs."""
        self._send = send
        self._pending: dict[WorkerId, _Batch] = {}

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """Release a program and return the outcome of the batch.

        If the caller that sends the batch is cancelled, the others get an unknown outcome.
        """
        batch = self._pending.get(worker)
        if batch is not None and len(batch.programs) < MAX_PROGRAMS:
            batch.programs.append(program_id)
            return await asyncio.shield(batch.outcome)
        batch = self._pending[worker] = _Batch()
        batch.programs.append(program_id)
        outcome: Completed | Refused = CANCELLED
        try:
            await asyncio.sleep(0)
            self._close(worker, batch)
            outcome = await self._send(worker, batch.programs)
        finally:
            self._close(worker, batch)
            batch.outcome.set_result(outcome)
        return outcome

    def _close(self, worker: WorkerId, batch: _Batch) -> None:
        if self._pending.get(worker) is batch:
            del self._pending[worker]
