"""A caller that retries each logical call under one idempotency key until the outcome is final."""

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import aiohttp

from foxwinch.bench.failover.cluster import FailoverCluster, TestedNode

ATTEMPT_TIMEOUT_SECONDS = 30.0
"""Timeout of one attempt; the caller then retries with the same idempotency key."""
CALL_DEADLINE_SECONDS = 60.0
"""Time for which a call is retried; far above any acceptable recovery time."""
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
RECORDED_REASONS = frozenset({"outcome_unknown", "tool_timeout", "backend_failed", "cancelled"})
"""Reasons of recorded outcomes; a retry with the same key returns the same outcome."""
RECORDED_REASON_ONCE = "backend_unavailable"
"""Recorded as well for a non-repeatable call, whose service closed the connection."""
REQUIRED_REPEATS = 2
"""Responses with that reason before it is final; the emulator detects a retry that runs again."""


class Outcome(StrEnum):
    """Outcome of a call as its caller knows it."""

    DONE = "done"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
    CUT = "cut"
    """The connection ended, or the attempt timed out, before the response was complete."""
    UNREACHED = "unreached"
    """No connection was established, so the request was not sent."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one request."""

    outcome: Outcome
    text: str = ""
    """Text of a model's response."""
    message: dict[str, Any] = field(default_factory=dict)
    """JSON document of a response that is not streamed."""
    reason: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    streaming: bool = False
    """True if the refusal ended a stream that had begun."""


@dataclass(slots=True)
class LogicalCall:
    """One call, however many attempts it took."""

    program: str
    kind: str
    """`model`, `create`, `history`, `finish`, or the name of a tool."""
    started_at: float
    ended_at: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    reason: str = ""
    cuts: list[str] = field(default_factory=list)
    """Reasons of the attempts that were interrupted or had an uncertain outcome."""
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Parameters of a request to the public API."""

    path: str
    body: dict[str, Any] | None
    key: str
    stream: bool = False
    once: bool = False
    """True for a call of a non-repeatable tool."""
    resend_not_run: Callable[[], bool] = lambda: True
    """Return False to end the call at a "not run" refusal, to verify it against the emulator."""


class Caller:
    """Sends calls to randomly chosen usable nodes."""

    def __init__(self, cluster: FailoverCluster, seed: int) -> None:
        """Choose nodes at random, seeded by `seed`."""
        self._cluster = cluster
        self._random = random.Random(seed)

    async def run(self, call: LogicalCall, request: CallRequest) -> Attempt:
        """Retry until the outcome is final or the deadline passes; record the outcome in `call`."""
        deadline_at = call.started_at + CALL_DEADLINE_SECONDS
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        attempt = Attempt(Outcome.UNREACHED)
        while time.monotonic() < deadline_at:
            attempt = await self._attempt(request)
            if self._is_final(attempt, call, request):
                break
            delay_seconds = attempt.retry_after_seconds
            await asyncio.sleep(
                min(
                    delay_seconds if delay_seconds is not None else backoff_seconds,
                    MAX_BACKOFF_SECONDS,
                )
            )
            backoff_seconds = min(2 * backoff_seconds, MAX_BACKOFF_SECONDS)
        call.ended_at, call.outcome, call.reason = time.monotonic(), attempt.outcome, attempt.reason
        return attempt

    def _is_final(self, attempt: Attempt, call: LogicalCall, request: CallRequest) -> bool:
        if attempt.outcome is Outcome.DONE:
            return True
        if attempt.outcome is Outcome.NOT_RUN:
            call.refusals += 1
            return attempt.retry_after_seconds is None or not request.resend_not_run()
        if attempt.outcome is Outcome.UNREACHED:
            return False
        call.cuts.append(attempt.reason or attempt.outcome)
        if request.once and attempt.reason == RECORDED_REASON_ONCE:
            return call.cuts.count(attempt.reason) >= REQUIRED_REPEATS
        return attempt.reason in RECORDED_REASONS

    async def _attempt(self, request: CallRequest) -> Attempt:
        nodes = self._cluster.usable()
        if not nodes:
            return Attempt(Outcome.UNREACHED)
        node = self._random.choice(nodes)
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
                return await self._send(node, request)
        except aiohttp.ClientConnectorError:
            return Attempt(Outcome.UNREACHED)
        except TimeoutError:
            return Attempt(Outcome.CUT, reason="no_answer")
        except (aiohttp.ClientError, OSError) as error:
            return Attempt(Outcome.CUT, reason=f"connection_lost:{type(error).__name__}")

    async def _send(self, node: TestedNode, request: CallRequest) -> Attempt:
        headers = {"Authorization": f"Bearer {self._cluster.caller_key}"}
        if request.key:
            headers["Idempotency-Key"] = request.key
        method = "GET" if request.body is None else "POST"
        url = node.caller_url + request.path
        async with self._cluster.session.request(
            method, url, json=request.body, headers=headers
        ) as response:
            if response.status >= 400:
                return _decode_refusal(await response.json(), response.headers.get("Retry-After"))
            if not request.stream:
                return Attempt(Outcome.DONE, message=await response.json())
            return _decode_stream(await response.read())


def _decode_refusal(
    document: dict[str, Any], retry_after: str | None, streaming: bool = False
) -> Attempt:
    error = document["error"]
    return Attempt(
        Outcome(error["run_state"]),
        reason=str(error["code"]),
        detail=str(error["message"]),
        retry_after_seconds=float(retry_after) if retry_after is not None else None,
        streaming=streaming,
    )


def _decode_stream(data: bytes) -> Attempt:
    text: list[str] = []
    for line in data.split(b"\n\n"):
        payload = line.removeprefix(b"data: ")
        if payload == b"[DONE]":
            return Attempt(Outcome.DONE, text="".join(text))
        if not payload:
            continue
        document = json.loads(payload)
        if "error" in document:
            return _decode_refusal(document, None, streaming=True)
        for choice in document.get("choices", ()):
            text.append(choice["delta"].get("content") or "")
    return Attempt(Outcome.CUT, reason="stream_ended", streaming=True)
