"""Serving of requests with a single response body (not streamed)."""

import asyncio
from typing import NamedTuple

from foxwinch.clock import Clock
from foxwinch.serving.attempt_state import Attempts
from foxwinch.serving.attempts import Dispatcher
from foxwinch.serving.messages import (
    Caller,
    CallFailure,
    CallInterrupted,
    RejectedRequest,
    Rejection,
    WorkerResponse,
)

SUCCESS = range(200, 300)


class _Received(NamedTuple):
    """A complete response, which counts as buffered until it is closed."""

    response: WorkerResponse
    body: bytes


async def serve_plain(
    dispatcher: Dispatcher, attempts: Attempts, caller: Caller, clock: Clock
) -> str:
    """Serve a request and return its outcome, a stable identifier for logs and metrics."""
    try:
        async with asyncio.timeout(max(0.0, attempts.deadline_at - clock.monotonic())):
            received = await _receive_with_retries(dispatcher, attempts)
    except TimeoutError:
        received = RejectedRequest(Rejection.LATE, "time_over")
    if isinstance(received, RejectedRequest):
        await caller.reject(received)
        return received.reason
    try:
        # The deadline is that of the complete response; the caller may read it slowly.
        await caller.respond(received.response.head, received.body)
    finally:
        received.response.close()
    return "answered"


async def _receive_with_retries(
    dispatcher: Dispatcher, attempts: Attempts
) -> _Received | RejectedRequest:
    while True:
        accepted = await dispatcher.dispatch(attempts, None)
        if isinstance(accepted, RejectedRequest):
            return accepted
        is_received = False
        try:
            with dispatcher.count_in_flight(accepted.worker):
                body = await accepted.response.read_body()
            head = accepted.response.head
            is_success = head.status in SUCCESS
            if isinstance(body, bytes) and (head.signed or not is_success):
                dispatcher.record_response(accepted.worker, attempts, is_success)
                is_received = True
                return _Received(accepted.response, body)
        finally:
            if not is_received:
                accepted.response.close()
        if isinstance(body, bytes):
            body = CallInterrupted(CallFailure.MALFORMED, "the response has no valid signature")
        await dispatcher.record_failure(accepted.worker, body, attempts)
        if not dispatcher.may_retry(attempts):
            return RejectedRequest(Rejection.FAILED, body.failure.value)
