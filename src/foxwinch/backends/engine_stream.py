"""Server-sent events of an engine's chat completions, read into engine events."""

import json
from collections.abc import AsyncGenerator, Callable, Iterator
from typing import Any

import aiohttp

from foxwinch.backends.ports import EngineEvent, GenerateFinished, TokenChunk
from foxwinch.outcomes import Reason, Refused, RunState, outcome_unknown

EVENT_PREFIX = "data: "
END_OF_STREAM = "[DONE]"
MAX_LINE_BYTES = 1024 * 1024
"""A longer line without an end is no event of an engine."""
MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)
"""What reading an answer of another shape raises."""
MALFORMED = outcome_unknown(Reason.BACKEND_FAILED, "an event of the engine is malformed")
_decode_at = json.JSONDecoder().raw_decode


async def read_events(
    content: aiohttp.StreamReader, on_begun: Callable[[], None]
) -> AsyncGenerator[EngineEvent, None]:
    """Yield the events of a stream until it ends; an unreadable one ends it as `unknown`.

    All lines that have arrived together are read without a pause between their events.
    `on_begun` is called once, when the first data has arrived.
    """
    reader = _EventReader()
    begun = False
    rest = b""
    while data := await content.readany():
        if not begun:
            begun = True
            on_begun()
        lines, _, rest = (rest + data).rpartition(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            yield MALFORMED
            return
        for event in reader.read(lines):
            yield event
            if isinstance(event, Refused):
                return
        if reader.ended:
            return


class _EventReader:
    """Reads whole lines; `ended` tells that the end marker has been read."""

    def __init__(self) -> None:
        self.ended = False
        self._finish_reason = "stop"

    def read(self, lines: bytes) -> Iterator[EngineEvent]:
        try:
            for line in lines.decode().split("\n"):
                if not line.startswith(EVENT_PREFIX):
                    continue
                if line.startswith(END_OF_STREAM, len(EVENT_PREFIX)):
                    self.ended = True
                    return
                document, _ = _decode_at(line, len(EVENT_PREFIX))
                yield from self._events(document)
        except MALFORMED_ERRORS:
            yield MALFORMED

    def _events(self, document: dict[str, Any]) -> Iterator[EngineEvent]:
        if "error" in document:
            yield _refused(document["error"])
            return
        for choice in document["choices"]:
            if choice.get("finish_reason"):
                self._finish_reason = str(choice["finish_reason"])
            delta = choice["delta"]
            text = delta.get("content") or ""
            calls = delta.get("tool_calls")
            if not isinstance(text, str):
                raise TypeError
            if text or calls:
                yield TokenChunk(text, 1, tuple(calls) if calls else ())
        usage = document.get("usage")
        if usage:
            yield self._finished(usage)

    def _finished(self, usage: dict[str, Any]) -> GenerateFinished:
        details = usage.get("prompt_tokens_details") or {}
        return GenerateFinished(
            self._finish_reason,
            int(usage["prompt_tokens"]),
            int(details.get("cached_tokens") or 0),
            int(usage["completion_tokens"]),
        )


def _refused(error: dict[str, Any]) -> Refused:
    """Return an error that the engine sent inside its stream; unknown names mean the worst."""
    try:
        reason, run_state = Reason(error["code"]), RunState(error["run_state"])
    except (KeyError, ValueError):
        reason, run_state = Reason.BACKEND_FAILED, RunState.UNKNOWN
    return Refused(reason, run_state, "the engine ended the call with an error")
