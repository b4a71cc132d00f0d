"""Serving of requests with a single response body (not streamed)."""

import asyncio

from foxwinch.clock import Clock
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.attempts import Dispatcher
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
        async with asyncio.timeout(max(0.0, attempts.deadline_at - clock.monotonic())):
            rejected = await _serve_with_retries(dispatcher, attempts, caller)
    except TimeoutError:
        rejected = RejectedRequest(Rejection.LATE, "time_over")
    if rejected is None:
        return "answered"
    await caller.reject(rejected)
    return rejected.reason


async def _serve_with_retries(
    dispatcher: Dispatcher, attempts: Attempts, caller: Caller
) -> RejectedRequest | None:
    while True:
        accepted = await dispatcher.dispatch(attempts, None)
        if isinstance(accepted, RejectedRequest):
            return accepted
        try:
            with dispatcher.count_in_flight(accepted.worker):
                body = await accepted.response.read_body()
            head = accepted.response.head
            if isinstance(body, bytes) and (head.signed or head.status not in SUCCESS):
                dispatcher.record_response(accepted.worker, attempts)
                await caller.respond(head, body)
                return None
        finally:
            accepted.response.close()
        if isinstance(body, bytes):
            body = CallInterrupted(CallFailure.MALFORMED, "the response has no valid signature")
        await dispatcher.record_failure(accepted.worker, body, attempts)
        if not dispatcher.may_retry(attempts):
            return RejectedRequest(Rejection.FAILED, body.failure.value)
