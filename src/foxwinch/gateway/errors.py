"""Refusals as typed JSON errors in the widely used shape, with the run state beside."""

import math

from aiohttp import web

from foxwinch.outcomes import Reason, Refused

STATUS_OF_REASON: dict[Reason, int] = {
    Reason.INVALID_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.PROGRAM_FINISHED: 409,
    Reason.BUDGET_EXHAUSTED: 403,
    Reason.LOOP_DETECTED: 403,
    Reason.RATE_LIMITED: 429,
    Reason.DEADLINE: 504,
    Reason.TOOL_TIMEOUT: 504,
    Reason.BACKEND_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.CANCELLED: 499,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503


def error_document(refused: Refused) -> dict[str, dict[str, object]]:
    """Return the JSON body of a refusal."""
    return {
        "error": {
            "message": refused.detail,
            "type": refused.reason.value,
            "code": refused.reason.value,
            "param": None,
            "run_state": refused.run_state.value,
        }
    }


def error_response(refused: Refused) -> web.Response:
    """Return the HTTP response of a refusal, with Retry-After where trying again can help."""
    headers = {}
    if refused.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after_seconds)))
    status = STATUS_OF_REASON.get(refused.reason, DEFAULT_STATUS)
    return web.json_response(error_document(refused), status=status, headers=headers)
