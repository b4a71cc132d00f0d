"""Decoder of the server-sent events of an engine's chat completions."""

import json
from collections.abc import AsyncGenerator, Callable, Iterator
from typing import Any

import aiohttp

from foxwinch.backends.ports import EngineEvent, GenerateFinished, TokenChunk
from foxwinch.outcomes import Reason, Refused, RunState, outcome_unknown

EVENT_PREFIX = "data: "
END_OF_STREAM = "[DONE]"
MAX_LINE_BYTES = 1024 * 1024
"""Maximum length of a line; a longer one is malformed."""
MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)
"""Exceptions that decoding a malformed event raises."""
MALFORMED = outcome_unknown(Reason.BACKEND_FAILED, "the engine sent a malformed event")
_decode_at = json.JSONDecoder().raw_decode


async def decode_events(
    content: aiohttp.StreamReader, on_first_data: Callable[[], None]
) -> AsyncGenerator[EngineEvent, None]:
    """Yield the events of a stream; a malformed event ends it with run state `unknown`.

    All lines that have arrived together are decoded without yielding to the event loop.
    `on_first_data` is called once, when the first data has arrived.
    """
    decoder = _EventDecoder()
    started = False
    remainder = b""
    while data := await content.readany():
        if not started:
            started = True
            on_first_data()
        lines, _, remainder = (remainder + data).rpartition(b"\n")
        if len(remainder) > MAX_LINE_BYTES:
            yield MALFORMED
            return
        for event in decoder.decode_lines(lines):
            yield event
            if isinstance(event, Refused):
                return
        if decoder.ended:
            return


class _EventDecoder:
    """Decodes complete lines; `ended` is true once the end marker has been read."""

    def __init__(self) -> None:
        self.ended = False
        self._finish_reason = "stop"

    def decode_lines(self, lines: bytes) -> Iterator[EngineEvent]:
        try:
            for line in lines.decode().split("\n"):
                if not line.startswith(EVENT_PREFIX):
                    continue
                if line.startswith(END_OF_STREAM, len(EVENT_PREFIX)):
                    self.ended = True
                    return
                document, _ = _decode_at(line, len(EVENT_PREFIX))
                yield from self._decode_event(document)
        except MALFORMED_ERRORS:
            yield MALFORMED

    def _decode_event(self, document: dict[str, Any]) -> Iterator[EngineEvent]:
        if "error" in document:
            yield _decode_error(document["error"])
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
            yield self._decode_usage(usage)

    def _decode_usage(self, usage: dict[str, Any]) -> GenerateFinished:
        details = usage.get("prompt_tokens_details") or {}
        return GenerateFinished(
            self._finish_reason,
            int(usage["prompt_tokens"]),
            int(details.get("cached_tokens") or 0),
            int(usage["completion_tokens"]),
        )


def _decode_error(error: dict[str, Any]) -> Refused:
    """Decode an error event; unknown names mean that the call may have run."""
    try:
        reason, run_state = Reason(error["code"]), RunState(error["run_state"])
    except (KeyError, ValueError):
        reason, run_state = Reason.BACKEND_FAILED, RunState.UNKNOWN
    return Refused(reason, run_state, "the engine reported an error")
