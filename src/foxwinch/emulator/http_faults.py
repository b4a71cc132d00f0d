"""Faults of the emulated services, expressed as HTTP responses."""

from aiohttp import web

from foxwinch.emulator.faults import FaultGate, GateDecision, GateVerdict, ResponseOutcome
from foxwinch.http_client import HEADER_RETRY_AFTER, HEADER_RUN_STATE
from foxwinch.outcomes import Reason, Refused, RunState

GARBAGE = b'{"malformed": '
STATUS_BY_REASON = {
    Reason.FENCED: 412,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.RATE_LIMITED: 429,
    Reason.INVALID_REQUEST: 422,
    Reason.BACKEND_UNAVAILABLE: 503,
    Reason.STORE_UNAVAILABLE: 503,
}


async def check_gate(gate: FaultGate) -> web.Response | None:
    """Return the refusal of a request by the gate, or None if it passes."""
    decision = await gate.enter()
    if decision.verdict is GateVerdict.PASS:
        return None
    return _gate_refusal_response(decision)


async def respond(
    request: web.Request, gate: FaultGate, response: web.Response
) -> web.StreamResponse:
    """Return a response, or lose or garble it after the effect as the faults specify."""
    outcome = await gate.leave()
    if outcome is ResponseOutcome.DELIVERED:
        return response
    if outcome is ResponseOutcome.MALFORMED:
        return web.Response(body=GARBAGE, content_type="application/json")
    return abort_connection(request)


def abort_connection(request: web.Request) -> web.StreamResponse:
    """Abort the connection without a response."""
    transport = request.transport
    if transport is not None:  # uvloop's transports are not subclasses of asyncio.Transport
        transport.abort()
    return web.Response(status=500)


def refusal_response(refused: Refused) -> web.Response:
    """Return the response for a refusal by the service itself."""
    status = STATUS_BY_REASON.get(refused.reason, 500)
    headers = {HEADER_RUN_STATE: refused.run_state.value}
    if refused.retry_after_seconds is not None:
        headers[HEADER_RETRY_AFTER] = f"{refused.retry_after_seconds:.3f}"
    document = {"error": {"code": refused.reason.value, "message": refused.detail}}
    return web.json_response(document, status=status, headers=headers)


def _gate_refusal_response(decision: GateDecision) -> web.Response:
    status = 429 if decision.verdict is GateVerdict.LIMITED else 503
    headers = {
        HEADER_RUN_STATE: RunState.NOT_RUN.value,
        HEADER_RETRY_AFTER: f"{decision.retry_after_seconds:.3f}",
    }
    return web.Response(status=status, headers=headers)
