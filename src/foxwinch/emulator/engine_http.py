"""Stand-in engines over HTTP: many workers in one process, told apart by the URL's path."""

import asyncio
import json

from aiohttp import web

WORKER_PATH = "/workers/{worker}/v1/chat/completions"
WORDS = ("the", "next", "train", "leaves", "at", "ten", "and", "seats", "are", "free")


def build_engine_application(token_seconds: float) -> web.Application:
    """Return an application that serves any number of workers.

    `token_seconds` is the time between two tokens of an answer.
    """
    application = web.Application()

    async def complete(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        prompt_tokens = sum(len(m["content"].split()) for m in body["messages"])
        count = min(int(body.get("max_tokens") or 16), 16)
        for index in range(count):
            await asyncio.sleep(token_seconds)
            await response.write(_event(body["model"], {"content": _word(index)}, None))
        await response.write(_event(body["model"], {}, "stop"))
        usage = {"prompt_tokens": prompt_tokens, "completion_tokens": count}
        tail = {"object": "chat.completion.chunk", "choices": [], "usage": usage}
        await response.write(b"data: " + json.dumps(tail).encode() + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        return response

    application.router.add_post(WORKER_PATH, complete)
    return application


def _word(index: int) -> str:
    return WORDS[index % len(WORDS)] + " "


def _event(model: str, delta: dict[str, str], finish_reason: str | None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    document = {"object": "chat.completion.chunk", "model": model, "choices": [choice]}
    return b"data: " + json.dumps(document).encode() + b"\n\n"
