"""Encode answers in the chat-completions format.

The parts that are the same in every chunk are encoded once per stream.
"""

import json
from collections.abc import Sequence
from json.encoder import encode_basestring_ascii
from typing import Any

from foxwinch.core.program.call_events import CallChunk, CallFinished, CallStarted
from foxwinch.core.program.tool_calls import merge_tool_calls

END_OF_STREAM = b"data: [DONE]\n\n"
DELTA_TAIL = b'},"finish_reason":null}]}\n\n'


class ChunkEncoder:
    """Encodes the server-sent events of one streamed answer."""

    def __init__(self, started: CallStarted, created_seconds: int, from_start: bool) -> None:
        """Prepare a stream; `from_start` is False if it resumes from an offset, after the role."""
        common = (
            f'data: {{"id":"chatcmpl-{started.call_id}","object":"chat.completion.chunk",'
            f'"created":{created_seconds},"model":{json.dumps(started.target)},"choices":['
        )
        self._common = common.encode()
        self._delta_head = self._common + b'{"index":0,"delta":{'
        self._role = b'"role":"assistant",' if from_start else b""

    def chunks(self, chunks: Sequence[CallChunk]) -> bytes:
        """Return the concatenated events of several chunks."""
        frames = []
        for chunk in chunks:
            content = encode_basestring_ascii(chunk.text).encode()
            tool_calls = b""
            if chunk.tool_calls:
                tool_calls = b',"tool_calls":' + _json(list(chunk.tool_calls))
            frames.append(
                self._delta_head + self._role + b'"content":' + content + tool_calls + DELTA_TAIL
            )
            self._role = b""
        return b"".join(frames)

    def end(self, finished: CallFinished, include_usage: bool) -> bytes:
        """Return the final events of the stream."""
        reason = json.dumps(finished.finish_reason).encode()
        tail = self._delta_head + b'},"finish_reason":' + reason + b"}]}\n\n"
        if include_usage:
            tail += self._common + b'],"usage":' + _json(usage(finished)) + b"}\n\n"
        return tail + END_OF_STREAM


def encode_event(document: dict[str, Any]) -> bytes:
    """Return a document as one server-sent event."""
    return b"data: " + _json(document) + b"\n\n"


def answer_document(
    started: CallStarted,
    chunks: Sequence[CallChunk],
    finished: CallFinished,
    created_seconds: int,
) -> dict[str, Any]:
    """Return the body of an answer that is not streamed."""
    message: dict[str, Any] = {
        "role": "assistant",
        "content": "".join([chunk.text for chunk in chunks]),
    }
    tool_calls = merge_tool_calls(fragment for chunk in chunks for fragment in chunk.tool_calls)
    if tool_calls:
        message["tool_calls"] = tool_calls
    choice = {"index": 0, "message": message, "finish_reason": finished.finish_reason}
    return {
        "id": f"chatcmpl-{started.call_id}",
        "object": "chat.completion",
        "created": created_seconds,
        "model": started.target,
        "choices": [choice],
        "usage": usage(finished),
    }


def usage(finished: CallFinished) -> dict[str, Any]:
    """Return the `usage` object of an answer."""
    return {
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.completion_tokens,
        "total_tokens": finished.prompt_tokens + finished.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": finished.cached_tokens},
    }


def _json(document: object) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
