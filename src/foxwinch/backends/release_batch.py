"""Gathers the releases for one engine of one turn of the event loop into one request.

Many small programs end at once on a busy node, and a request each would cost the engine and the
node as much as the calls themselves. Whoever comes first sends for all; there is no task and no
pause.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from foxwinch.backends.ports import Completed
from foxwinch.identifiers import ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, outcome_unknown

MAX_PROGRAMS = 256
"""In one request: some 40 kB at most, which every engine takes."""
CUT_SHORT = outcome_unknown(Reason.BACKEND_FAILED, "the release was cut short")
SendReleases = Callable[[WorkerId, Sequence[ProgramId]], Awaitable[Completed | Refused]]


class _Batch:
    def __init__(self) -> None:
        self.programs: list[ProgramId] = []
        self.outcome: asyncio.Future[Completed | Refused] = (
            asyncio.get_running_loop().create_future()
        )


class ReleaseBatches:
    """Releases that wait for their turn's request, one batch a worker."""

    def __init__(self, send: SendReleases) -> None:
        """Send by `send`, which takes 1 to `MAX_PROGRAMS` programs."""
        self._send = send
        self._open: dict[WorkerId, _Batch] = {}

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """Release a program; the outcome is that of the request that bore it.

        When the one who sends is cancelled, the others are told that the outcome is unknown.
        """
        batch = self._open.get(worker)
        if batch is not None and len(batch.programs) < MAX_PROGRAMS:
            batch.programs.append(program_id)
            return await asyncio.shield(batch.outcome)
        batch = self._open[worker] = _Batch()
        batch.programs.append(program_id)
        outcome: Completed | Refused = CUT_SHORT
        try:
            await asyncio.sleep(0)
            self._close(worker, batch)
            outcome = await self._send(worker, batch.programs)
        finally:
            self._close(worker, batch)
            batch.outcome.set_result(outcome)
        return outcome

    def _close(self, worker: WorkerId, batch: _Batch) -> None:
        if self._open.get(worker) is batch:
            del self._open[worker]
