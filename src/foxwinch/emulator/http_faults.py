"""Faults of a stand-in as they look over HTTP."""

from aiohttp import web

from foxwinch.emulator.faults import AnswerFate, FaultGate, Gated, GateVerdict
from foxwinch.http_client import HEADER_RETRY_AFTER, HEADER_RUN_STATE
from foxwinch.outcomes import Reason, Refused, RunState

GARBAGE = b'{"malformed": '
STATUS_OF_REASON = {
    Reason.FENCED: 412,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.RATE_LIMITED: 429,
    Reason.INVALID_REQUEST: 422,
    Reason.BACKEND_UNAVAILABLE: 503,
    Reason.STORE_UNAVAILABLE: 503,
}


async def refused_at(gate: FaultGate) -> web.Response | None:
    """Return the refusal of a request by the gate, or None when it passes."""
    gated = await gate.enter()
    if gated.verdict is GateVerdict.PASS:
        return None
    return _gate_response(gated)


async def answer(
    request: web.Request, gate: FaultGate, response: web.Response
) -> web.StreamResponse:
    """Give an answer, or lose it by breaking the connection after the effect."""
    fate = await gate.leave()
    if fate is AnswerFate.GIVEN:
        return response
    if fate is AnswerFate.MALFORMED:
        return web.Response(body=GARBAGE, content_type="application/json")
    return break_connection(request)


def break_connection(request: web.Request) -> web.StreamResponse:
    """Break the connection without an answer."""
    transport = request.transport
    if transport is not None:  # uvloop's transports are no asyncio.Transport by class
        transport.abort()
    return web.Response(status=500)


def refusal_response(refused: Refused) -> web.Response:
    """Return a refusal of the service itself."""
    status = STATUS_OF_REASON.get(refused.reason, 500)
    headers = {HEADER_RUN_STATE: refused.run_state.value}
    if refused.retry_after_seconds is not None:
        headers[HEADER_RETRY_AFTER] = f"{refused.retry_after_seconds:.3f}"
    document = {"error": {"code": refused.reason.value, "message": refused.detail}}
    return web.json_response(document, status=status, headers=headers)


def _gate_response(gated: Gated) -> web.Response:
    status = 429 if gated.verdict is GateVerdict.LIMITED else 503
    headers = {
        HEADER_RUN_STATE: RunState.NOT_RUN.value,
        HEADER_RETRY_AFTER: f"{gated.retry_after_seconds:.3f}",
    }
    return web.Response(status=status, headers=headers)
