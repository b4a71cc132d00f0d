"""Encode refusals as JSON errors in the OpenAI format, extended by the run state."""

import json
import math
from dataclasses import dataclass

from aiohttp import web

from foxwinch.outcomes import Reason, Refused, RunState

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


MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class InvalidField(Refused):
    """A refusal of a request field, which is named in the error's `param`."""

    field: str = ""


def invalid_field(field: str, value: object, allowed: str) -> InvalidField:
    """Return a refusal that names the field, its value and the allowed values."""
    shown = json.dumps(value, default=repr)
    if len(shown) > MAX_SHOWN_CHARACTERS:
        shown = shown[:MAX_SHOWN_CHARACTERS] + "..."
    detail = f"{field} = {shown}: must be {allowed}"
    return InvalidField(Reason.INVALID_REQUEST, RunState.NOT_RUN, detail, None, field)


def error_document(refused: Refused) -> dict[str, dict[str, object]]:
    """Return the JSON body of a refusal."""
    return {
        "error": {
            "message": refused.detail,
            "type": refused.reason.value,
            "code": refused.reason.value,
            "param": refused.field if isinstance(refused, InvalidField) else None,
            "run_state": refused.run_state.value,
        }
    }


def error_response(refused: Refused) -> web.Response:
    """Return the HTTP response of a refusal, with `Retry-After` if a retry may succeed."""
    headers = {}
    if refused.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refused.retry_after_seconds)))
    status = STATUS_OF_REASON.get(refused.reason, DEFAULT_STATUS)
    return web.json_response(error_document(refused), status=status, headers=headers)
