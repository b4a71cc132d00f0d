"""Convert the events of a request to an HTTP response."""

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
from foxwinch.core.program.history import from_history
from foxwinch.core.program.identity import name_of
from foxwinch.gateway.chat_format import ChunkEncoder, answer_document, encode_event
from foxwinch.gateway.errors import error_document, error_response
from foxwinch.gateway.headers import CALL_HEADER, PROGRAM_HEADER, WORKER_HEADER
from foxwinch.outcomes import Refused

WRITE_SECONDS = 30.0
"""Time that a client may leave the send buffer full before its connection is aborted."""
EVENT_STREAM = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


async def respond_stream(
    request: web.Request,
    events: AsyncIterator[ProgramEvent],
    created_seconds: int,
    include_usage: bool,
    from_start: bool = True,
) -> web.StreamResponse:
    """Stream an answer as server-sent events; a refusal before the start is an error response."""
    response: web.StreamResponse | None = None
    encoder: ChunkEncoder | None = None
    unsent = b""
    async with aclosing(cast(Any, events)):
        async for event in events:
            if isinstance(event, CallChunks) and response is not None and encoder is not None:
                unsent += encoder.chunks(event.chunks)
                if not event.more:
                    await _write(request, response.write, unsent)
                    unsent = b""
            elif isinstance(event, CallStarted):
                encoder = ChunkEncoder(event, created_seconds, from_start)
                response = web.StreamResponse(headers={**EVENT_STREAM, **call_headers(event)})
                await response.prepare(request)
            elif isinstance(event, Refused) and response is None:
                return error_response(event)
            elif response is not None and encoder is not None:
                unsent += _encode_final_event(event, encoder, include_usage)
    assert response is not None
    await _write(request, response.write_eof, unsent)
    return response


async def respond_json(
    events: AsyncIterator[ProgramEvent], created_seconds: int
) -> web.StreamResponse:
    """Collect an answer and return it as one JSON document."""
    chunks: list[CallChunk] = []
    started: CallStarted | None = None
    async with aclosing(cast(Any, events)):
        async for event in events:
            if isinstance(event, CallStarted):
                started = event
            elif isinstance(event, CallChunks):
                chunks.extend(event.chunks)
            elif isinstance(event, CallFinished) and started is not None:
                document = answer_document(started, chunks, event, created_seconds)
                return web.json_response(document, headers=call_headers(started))
            elif isinstance(event, Refused):
                return error_response(event)
    raise AssertionError("the events of a model call must end with `CallFinished` or `Refused`")


async def final_event(events: AsyncIterator[ProgramEvent]) -> ProgramEvent:
    """Return the last event of a request."""
    last: ProgramEvent | None = None
    async with aclosing(cast(Any, events)):
        async for event in events:
            last = event
    assert last is not None
    return last


def call_headers(started: CallStarted) -> dict[str, str]:
    """Return the response headers that identify a call."""
    return {
        PROGRAM_HEADER: name_of(started.program_id),
        CALL_HEADER: started.call_id,
        WORKER_HEADER: started.worker,
    }


def tool_document(finished: ToolFinished) -> dict[str, Any]:
    """Return the JSON document of a finished tool call."""
    return {
        "object": "tool.result",
        "call_id": finished.call_id,
        "message": from_history(finished.message),
    }


def program_document(details: ProgramDetails) -> dict[str, Any]:
    """Return the JSON document of a program, without its history."""
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


def _encode_final_event(event: ProgramEvent, encoder: ChunkEncoder, include_usage: bool) -> bytes:
    if isinstance(event, CallFinished):
        return encoder.end(event, include_usage)
    if isinstance(event, ToolFinished):
        return encode_event(tool_document(event))
    assert isinstance(event, Refused)
    return encode_event(error_document(event))


async def _write(
    request: web.Request, write: Callable[[bytes], Awaitable[None]], data: bytes
) -> None:
    """Write data; abort the connection of a client that does not read for `WRITE_SECONDS`."""
    transport = request.transport
    if transport is None or transport.get_write_buffer_size() == 0:
        await write(data)
        return
    try:
        async with asyncio.timeout(WRITE_SECONDS):
            await write(data)
    except TimeoutError:
        transport.abort()
        raise ConnectionResetError("the client did not read the response in time") from None
