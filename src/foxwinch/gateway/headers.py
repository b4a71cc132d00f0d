"""Names and validation of the request and response headers."""

from aiohttp import web

from foxwinch.core.program.identity import EXISTING_NAME_PATTERN, NAME_RULE
from foxwinch.gateway.errors import InvalidField, invalid_field
from foxwinch.outcomes import Refused

PROGRAM_HEADER = "X-Foxwinch-Program"
"""Name of the call's program; a call without it runs in a new single-call program."""
APPEND_HEADER = "X-Foxwinch-Append"
"""`true` if `messages` has only the messages that follow the program's history."""
OFFSET_HEADER = "X-Foxwinch-Offset"
"""Number of chunks of the answer that the caller has received under the idempotency key."""
CALL_HEADER = "X-Foxwinch-Call"
WORKER_HEADER = "X-Foxwinch-Worker"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 255


def program_name(request: web.Request) -> str | Refused:
    """Return the program name in the header, or an empty string if there is none."""
    name = request.headers.get(PROGRAM_HEADER, "")
    return check_name(PROGRAM_HEADER, name) if name else ""


def check_name(field: str, name: str) -> str | InvalidField:
    """Return the name of an existing program, or a refusal if it is malformed."""
    if EXISTING_NAME_PATTERN.match(name):
        return name
    return invalid_field(field, name, NAME_RULE)


def append_flag(request: web.Request, default: bool) -> bool | Refused:
    """Return whether the messages follow the program's history."""
    value = request.headers.get(APPEND_HEADER, str(default)).lower()
    if value in ("true", "false"):
        return value == "true"
    return invalid_field(APPEND_HEADER, value, "true or false")


def idempotency_key(request: web.Request) -> str | Refused:
    """Return the idempotency key, or an empty string if there is none."""
    key = request.headers.get(IDEMPOTENCY_HEADER, "")
    if len(key) <= MAX_KEY_CHARACTERS:
        return key
    return invalid_field(IDEMPOTENCY_HEADER, key, f"at most {MAX_KEY_CHARACTERS} characters")


def parse_offset(field: str, value: str) -> int | Refused:
    """Parse an offset in chunks."""
    if value.isascii() and value.isdecimal() and len(value) <= 9:
        return int(value)
    return invalid_field(field, value, "a number of chunks, 0 or more")
