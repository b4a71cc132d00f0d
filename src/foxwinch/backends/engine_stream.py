"""Server-sent events of an engine's chat completions, read into engine events."""

import json
from collections.abc import AsyncGenerator
from typing import Any

import aiohttp

from foxwinch.backends.ports import EngineEvent, GenerateFinished, TokenChunk
from foxwinch.outcomes import Reason, Refused, RunState, outcome_unknown

EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)
"""What reading an answer of another shape raises."""


async def read_events(content: aiohttp.StreamReader) -> AsyncGenerator[EngineEvent, None]:
    """Yield the events of a stream until it ends; an unreadable one ends it as `unknown`."""
    finish_reason = "stop"
    async for line in content:
        if not line.startswith(EVENT_PREFIX):
            continue
        data = line[len(EVENT_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        try:
            document = json.loads(data)
            finish_reason = _finish_reason(document) or finish_reason
            events = _events(document, finish_reason)
        except MALFORMED_ERRORS:
            events = [outcome_unknown(Reason.BACKEND_FAILED, "an event of the engine is malformed")]
        for event in events:
            yield event
            if isinstance(event, Refused):
                return


def _finish_reason(document: dict[str, Any]) -> str | None:
    for choice in document.get("choices") or ():
        if choice.get("finish_reason"):
            return str(choice["finish_reason"])
    return None


def _events(document: dict[str, Any], finish_reason: str) -> list[EngineEvent]:
    if "error" in document:
        return [_refused(document["error"])]
    events: list[EngineEvent] = []
    for choice in document["choices"]:
        delta = choice["delta"]
        text = delta.get("content") or ""
        calls = tuple(delta.get("tool_calls") or ())
        if not isinstance(text, str):
            raise TypeError
        if text or calls:
            events.append(TokenChunk(text, 1, calls))
    usage = document.get("usage")
    if usage:
        details = usage.get("prompt_tokens_details") or {}
        events.append(
            GenerateFinished(
                finish_reason,
                int(usage["prompt_tokens"]),
                int(details.get("cached_tokens") or 0),
                int(usage["completion_tokens"]),
            )
        )
    return events


def _refused(error: dict[str, Any]) -> Refused:
    """Return an error that the engine sent inside its stream; unknown names mean the worst."""
    try:
        reason, run_state = Reason(error["code"]), RunState(error["run_state"])
    except (KeyError, ValueError):
        reason, run_state = Reason.BACKEND_FAILED, RunState.UNKNOWN
    return Refused(reason, run_state, "the engine ended the call with an error")
