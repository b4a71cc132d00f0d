"""Read and validate request bodies within the caller limits."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.core.program.history import canonical_json, encode_message
from foxwinch.gateway.errors import invalid_field
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.process import CallerLimits

DEFAULT_MAXIMUM_TOKENS = 1_024
ROLES = frozenset({"system", "developer", "user", "assistant", "tool", "function"})
INTERPRETED_FIELDS = frozenset(
    {"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n"}
)
"""Fields that foxwinch interprets; all others are passed through to the engine."""
CHECKED_TYPES: dict[str, tuple[tuple[type, ...], str]] = {
    "temperature": ((int, float), "a number"),
    "top_p": ((int, float), "a number"),
    "seed": ((int,), "an integer"),
    "stop": ((str, list), "a string or a list of strings"),
    "tools": ((list,), "a list"),
    "response_format": ((dict,), "an object"),
    "stream_options": ((dict,), "an object"),
}


@dataclass(frozen=True, slots=True)
class ChatBody:
    """A validated body in the chat-completions format."""

    model: str
    messages: tuple[HistoryMessage, ...]
    maximum_tokens: int
    parameters_json: str
    stream: bool
    include_usage: bool


async def read_json(request: web.Request, limits: CallerLimits) -> dict[str, Any] | Refused:
    """Read a JSON object; returns a refusal if the body is too long, late or malformed."""
    header_bytes = sum(len(name) + len(value) for name, value in request.raw_headers)
    if header_bytes > limits.header_bytes:
        return not_run(
            Reason.INVALID_REQUEST, f"headers are longer than {limits.header_bytes} bytes"
        )
    try:
        if request.content.is_eof():  # the complete body has arrived; no timeout is needed
            data = await request.read()
        else:
            async with asyncio.timeout(limits.read_seconds):
                data = await request.read()
    except TimeoutError:
        detail = f"the body was not received within {limits.read_seconds:g} seconds"
        return not_run(Reason.INVALID_REQUEST, detail)
    except web.HTTPRequestEntityTooLarge:
        return not_run(Reason.INVALID_REQUEST, f"the body is longer than {limits.body_bytes} bytes")
    if not data:
        return {}
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return not_run(Reason.INVALID_REQUEST, "the body is not valid JSON")
    if not isinstance(body, dict):
        return not_run(Reason.INVALID_REQUEST, "the body must be a JSON object")
    return body


def check_chat_body(body: dict[str, Any], may_be_empty: bool) -> ChatBody | Refused:
    """Validate a body in the chat-completions format; `may_be_empty` permits no messages."""
    model = body.get("model")
    if not isinstance(model, str) or not model:
        return invalid_field("model", model, "the name of a model")
    messages = _check_messages(body.get("messages", [] if may_be_empty else None), may_be_empty)
    if isinstance(messages, Refused):
        return messages
    maximum = _maximum_tokens(body)
    if isinstance(maximum, Refused):
        return maximum
    refusal = _check_types(body)
    if refusal is not None:
        return refusal
    parameters = {name: value for name, value in body.items() if name not in INTERPRETED_FIELDS}
    return ChatBody(
        model=model,
        messages=messages,
        maximum_tokens=maximum,
        parameters_json=canonical_json(parameters) if parameters else "",
        stream=body.get("stream") is True,
        include_usage=(body.get("stream_options") or {}).get("include_usage") is True,
    )


def text_field(body: dict[str, Any], field: str, required: bool) -> str | Refused:
    """Return a text field, or an empty string if it is absent and not required."""
    value = body.get(field)
    if value is None and not required:
        return ""
    if isinstance(value, str) and (value or not required):
        return value
    return invalid_field(field, value, "a non-empty string" if required else "a string")


def _check_messages(value: object, may_be_empty: bool) -> tuple[HistoryMessage, ...] | Refused:
    if not isinstance(value, list) or not (value or may_be_empty):
        return invalid_field("messages", value, "a non-empty list of messages")
    found = []
    for index, message in enumerate(value):
        refusal = _check_message(f"messages[{index}]", message)
        if refusal is not None:
            return refusal
        found.append(encode_message(message))
    return tuple(found)


def _check_message(field: str, message: object) -> Refused | None:
    if not isinstance(message, dict):
        return invalid_field(field, message, "an object")
    role = message.get("role")
    if not isinstance(role, str) or role not in ROLES:
        return invalid_field(f"{field}.role", role, "one of " + ", ".join(sorted(ROLES)))
    content = message.get("content")
    if content is not None and not isinstance(content, str | list):
        return invalid_field(f"{field}.content", content, "a string, a list of parts, or null")
    return None


def _maximum_tokens(body: dict[str, Any]) -> int | Refused:
    for field in ("max_completion_tokens", "max_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= 10_000_000:
            return invalid_field(field, value, "an integer from 1 to 10000000")
        return value
    return DEFAULT_MAXIMUM_TOKENS


def _check_types(body: dict[str, Any]) -> Refused | None:
    stream = body.get("stream")
    if stream is not None and not isinstance(stream, bool):
        return invalid_field("stream", stream, "true or false")
    if body.get("n") not in (None, 1):
        return invalid_field("n", body["n"], "1, since a call has one answer")
    for field, (types, allowed) in CHECKED_TYPES.items():
        value = body.get(field)
        if value is not None and (isinstance(value, bool) or not isinstance(value, types)):
            return invalid_field(field, value, allowed)
    return None
