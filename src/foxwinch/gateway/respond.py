"""Turn the events of a request into an HTTP response."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import Any, cast

from aiohttp import web

from foxwinch.core.program.call_events import (
    CallChunk,
    CallChunks,
    CallFinished,
    CallStarted,
    ProgramDetails,
    ProgramEvent,
    ToolFinished,
)
from foxwinch.core.program.history import decode_message
from foxwinch.core.program.identity import name_of
from foxwinch.gateway.chat_format import ChunkEncoder, event, whole_answer
from foxwinch.gateway.errors import error_document, error_response
from foxwinch.gateway.headers import CALL_HEADER, PROGRAM_HEADER, WORKER_HEADER
from foxwinch.outcomes import Refused

WRITE_SECONDS = 30.0
"""How long a client may leave a full send buffer unread before its connection is cut."""
EVENT_STREAM = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


async def respond_stream(
    request: web.Request,
    events: AsyncIterator[ProgramEvent],
    created_seconds: int,
    include_usage: bool,
    first: bool = True,
) -> web.StreamResponse:
    """Stream an answer; a refusal before the first chunk becomes an error response."""
    response: web.StreamResponse | None = None
    encoder: ChunkEncoder | None = None
    unsent = b""
    async with aclosing(cast(Any, events)):
        async for item in events:
            if isinstance(item, CallChunks) and response is not None and encoder is not None:
                unsent += encoder.chunks(item.chunks)
                if not item.more:
                    await _write(request, response.write, unsent)
                    unsent = b""
            elif isinstance(item, CallStarted):
                encoder = ChunkEncoder(item, created_seconds, first)
                response = web.StreamResponse(headers={**EVENT_STREAM, **call_headers(item)})
                await response.prepare(request)
            elif isinstance(item, Refused) and response is None:
                return error_response(item)
            elif response is not None and encoder is not None:
                unsent += _last(item, encoder, include_usage)
    assert response is not None
    await _write(request, response.write_eof, unsent)
    return response


async def respond_whole(
    events: AsyncIterator[ProgramEvent], created_seconds: int
) -> web.StreamResponse:
    """Collect an answer and send it as one document."""
    chunks: list[CallChunk] = []
    started: CallStarted | None = None
    async with aclosing(cast(Any, events)):
        async for item in events:
            if isinstance(item, CallStarted):
                started = item
            elif isinstance(item, CallChunks):
                chunks.extend(item.chunks)
            elif isinstance(item, CallFinished) and started is not None:
                document = whole_answer(started, chunks, item, created_seconds)
                return web.json_response(document, headers=call_headers(started))
            elif isinstance(item, Refused):
                return error_response(item)
    raise AssertionError("a model call's events end with finished or refused")


async def final_event(events: AsyncIterator[ProgramEvent]) -> ProgramEvent:
    """Return the last event of a request."""
    last: ProgramEvent | None = None
    async with aclosing(cast(Any, events)):
        async for item in events:
            last = item
    assert last is not None
    return last


def call_headers(started: CallStarted) -> dict[str, str]:
    """Return the headers that name a call."""
    return {
        PROGRAM_HEADER: name_of(started.program_id),
        CALL_HEADER: started.call_id,
        WORKER_HEADER: started.worker,
    }


def tool_document(finished: ToolFinished) -> dict[str, Any]:
    """Return the answer of a tool call."""
    return {
        "object": "tool.result",
        "call_id": finished.call_id,
        "message": decode_message(finished.message),
    }


def program_document(details: ProgramDetails) -> dict[str, Any]:
    """Return a program without its history."""
    parent = details.parent_program_id
    return {
        "object": "program",
        "id": name_of(details.program_id),
        "template": details.template,
        "state": details.state,
        "parent": name_of(parent) if parent else None,
        "messages": len(details.history),
        "spent": {
            "tokens": details.spent.tokens,
            "calls": details.spent.calls,
            "cost": details.spent.cost,
        },
        "budget": {
            "tokens": details.budget.tokens,
            "calls": details.budget.calls,
            "depth": details.budget.depth,
            "wall_seconds": details.budget.wall_seconds,
            "cost": details.budget.cost,
        },
    }


def _last(item: ProgramEvent, encoder: ChunkEncoder, include_usage: bool) -> bytes:
    if isinstance(item, CallFinished):
        return encoder.end(item, include_usage)
    if isinstance(item, ToolFinished):
        return event(tool_document(item))
    assert isinstance(item, Refused)
    return event(error_document(item))


async def _write(
    request: web.Request, write: Callable[[bytes], Awaitable[None]], data: bytes
) -> None:
    """Write; a client that does not read for too long is cut off."""
    transport = request.transport
    if transport is None or transport.get_write_buffer_size() == 0:
        await write(data)
        return
    try:
        async with asyncio.timeout(WRITE_SECONDS):
            await write(data)
    except TimeoutError:
        transport.abort()
        raise ConnectionResetError("the client does not read") from None
