"""A bare aiohttp pass-through: what a caller's request costs when nothing is decided about it.

It reads a request whole, sends it to the next worker in turn and copies the answer piece by piece.
Run as `python -m foxwinch.bench.pass_through URL...`; prints `caller_url=`.
"""

import asyncio
import itertools
import sys

import aiohttp
import uvloop
from aiohttp import web

from foxwinch.backends.engine_http import (
    HEADER_CALL,
    HEADER_EPOCH,
    HEADER_PRIORITY,
    HEADER_PROGRAM,
    HEADER_RESUME_OFFSET,
)

JSON_HEADERS = {"Content-Type": "application/json"}


def build_pass_through(
    session: aiohttp.ClientSession, worker_urls: tuple[str, ...]
) -> web.Application:
    """Return the application; `session` is closed by the caller."""
    urls = itertools.cycle(worker_urls)
    numbers = itertools.count()

    async def complete(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        name = f"call-{next(numbers)}"
        headers = {
            **JSON_HEADERS,
            HEADER_CALL: name,
            HEADER_PROGRAM: name,
            HEADER_EPOCH: "1",
            HEADER_PRIORITY: "0",
            HEADER_RESUME_OFFSET: "0",
        }
        url = f"{next(urls)}/v1/chat/completions"
        async with session.post(url, data=body, headers=headers) as answer:
            response = web.StreamResponse(
                status=answer.status, headers={"Content-Type": answer.content_type}
            )
            await response.prepare(request)
            async for piece in answer.content.iter_any():
                await response.write(piece)
            await response.write_eof()
        return response

    application = web.Application()
    application.router.add_post("/v1/chat/completions", complete)
    return application


async def serve(worker_urls: tuple[str, ...]) -> None:
    """Serve until cancelled."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        runner = web.AppRunner(build_pass_through(session, worker_urls), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        print(f"caller_url=http://127.0.0.1:{runner.addresses[0][1]}", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(tuple(sys.argv[1:])))
