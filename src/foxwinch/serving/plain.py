"""Serving of requests with a single response body (not streamed)."""

import asyncio

from foxwinch.clock import Clock
from foxwinch.serving.attempts import Attempts, Dispatcher
from foxwinch.serving.messages import (
    Caller,
    CallFailure,
    CallInterrupted,
    RejectedRequest,
    Rejection,
)

SUCCESS = range(200, 300)


async def serve_plain(
    dispatcher: Dispatcher, attempts: Attempts, caller: Caller, clock: Clock
) -> str:
    """Serve a request and return its outcome, a stable identifier for logs and metrics."""
    try:
        async with asyncio.timeout(max(0.0, attempts.end_at - clock.monotonic())):
            rejected = await _try_workers(dispatcher, attempts, caller)
    except TimeoutError:
        rejected = RejectedRequest(Rejection.LATE, "time_over")
    if rejected is None:
        return "answered"
    await caller.reject(rejected)
    return rejected.reason


async def _try_workers(
    dispatcher: Dispatcher, attempts: Attempts, caller: Caller
) -> RejectedRequest | None:
    while True:
        taken = await dispatcher.offer(attempts, None)
        if isinstance(taken, RejectedRequest):
            return taken
        with dispatcher.counted(taken.worker):
            try:
                body = await taken.answer.read_whole()
            finally:
                taken.answer.close()
        head = taken.answer.head
        if isinstance(body, bytes) and (head.signed or head.status not in SUCCESS):
            dispatcher.answered(taken.worker)
            await caller.answer(head, body)
            return None
        failure = body.failure if isinstance(body, CallInterrupted) else CallFailure.MALFORMED
        dispatcher.failed(taken.worker, failure, attempts.request.request_id)
        if not dispatcher.may_run_again(attempts):
            return RejectedRequest(Rejection.FAILED, failure.value)
