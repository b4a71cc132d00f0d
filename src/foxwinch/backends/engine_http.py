"""Adapter of the engine port over HTTP: chat completions with server-sent events."""

import json
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp

from foxwinch.backends.ports import EngineEvent, GenerateFinished, GenerateOrder, TokenChunk
from foxwinch.identifiers import WorkerId
from foxwinch.outcomes import Reason, not_run, outcome_unknown

EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
HEADER_CALL = "x-request-id"
HEADER_PROGRAM = "x-program-id"
HEADER_EPOCH = "x-fence-epoch"
HEADER_PRIORITY = "x-priority"
HEADER_RESUME = "x-resume-offset"


class HttpEngine:
    """Engines reached over HTTP; implements `foxwinch.backends.ports.EnginePort`."""

    def __init__(
        self, session: aiohttp.ClientSession, url_of: Callable[[WorkerId], str | None]
    ) -> None:
        """Use `session`, which the caller closes; `url_of` finds a worker's base URL."""
        self._session = session
        self._url_of = url_of

    async def generate(self, worker: WorkerId, order: GenerateOrder) -> AsyncIterator[EngineEvent]:
        """Stream an answer; see the port."""
        url = self._url_of(worker)
        if url is None:
            yield not_run(Reason.BACKEND_UNAVAILABLE, f"worker {worker} is not known")
            return
        sent = False
        try:
            async with self._session.post(
                f"{url}/v1/chat/completions", json=_body(order), headers=_headers(order)
            ) as response:
                sent = True
                if response.status != 200:
                    yield not_run(
                        Reason.BACKEND_UNAVAILABLE, f"worker {worker} answered {response.status}"
                    )
                    return
                async for event in _events(response.content):
                    yield event
                    if isinstance(event, GenerateFinished):
                        return
            yield outcome_unknown(Reason.BACKEND_FAILED, f"worker {worker} ended its stream early")
        except aiohttp.ClientConnectorError:
            yield not_run(Reason.BACKEND_UNAVAILABLE, f"worker {worker} cannot be reached")
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
            kind = type(error).__name__
            if sent:
                yield outcome_unknown(Reason.BACKEND_FAILED, f"worker {worker} failed: {kind}")
            else:
                yield outcome_unknown(Reason.BACKEND_FAILED, f"worker {worker} answered {kind}")


def _headers(order: GenerateOrder) -> dict[str, str]:
    return {
        HEADER_CALL: order.call_id,
        HEADER_PROGRAM: order.program_id,
        HEADER_EPOCH: str(order.epoch),
        HEADER_PRIORITY: str(order.priority),
        HEADER_RESUME: str(order.resume_offset),
    }


def _body(order: GenerateOrder) -> dict[str, Any]:
    messages = [{"role": m.role, "content": m.content, **m.extra} for m in order.messages]
    return {
        **order.parameters,
        "model": order.model,
        "messages": messages,
        "max_tokens": order.maximum_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }


async def _events(content: aiohttp.StreamReader) -> AsyncIterator[EngineEvent]:
    finish_reason = "stop"
    async for line in content:
        if not line.startswith(EVENT_PREFIX):
            continue
        data = line[len(EVENT_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        document = json.loads(data)
        usage = document.get("usage")
        for choice in document["choices"]:
            finish_reason = choice.get("finish_reason") or finish_reason
            delta = choice["delta"]
            text = delta.get("content") or ""
            calls = tuple(delta.get("tool_calls") or ())
            if text or calls:
                yield TokenChunk(text, 1, calls)
        if usage:
            details = usage.get("prompt_tokens_details") or {}
            yield GenerateFinished(
                finish_reason,
                usage["prompt_tokens"],
                details.get("cached_tokens", 0),
                usage["completion_tokens"],
            )
