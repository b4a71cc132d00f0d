"""One caller: sends a logical call under one key until it has a final outcome."""

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

ATTEMPT_SECONDS = 30.0
"""A caller gives an attempt up after so long and asks again under the same key."""
PATIENCE_SECONDS = 60.0
"""A caller asks again for so long; far above any recovery that is wanted."""
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0
LASTING_REASONS = frozenset({"outcome_unknown", "tool_timeout", "backend_failed", "cancelled"})
"""Outcomes that are recorded: asking again under the key gives the same."""
LASTING_REASON_ONCE = "backend_unavailable"
"""Recorded too, for a call that may not be repeated: its service broke off."""
LASTING_ANSWERS = 2
"""Such a call is asked for once more: the repetition must not run it, which the stand-ins count."""


class Outcome(StrEnum):
    """What a caller knows of a call."""

    DONE = "done"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
    CUT = "cut"
    """The connection ended before the answer did."""
    UNREACHED = "unreached"
    """No connection: certainly not sent."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """What came of one request."""

    outcome: Outcome
    text: str = ""
    """Of a model's answer."""
    message: dict[str, Any] = field(default_factory=dict)
    """Of a tool's answer, or the document of the program API."""
    reason: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    streaming: bool = False
    """True when the answer had begun."""


@dataclass(slots=True)
class LogicalCall:
    """One call as its caller meant it, whatever number of requests it took."""

    program: str
    kind: str
    """`model`, `create`, `history`, `finish`, or the name of a tool."""
    started_at: float
    ended_at: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    reason: str = ""
    cuts: list[str] = field(default_factory=list)
    """Reasons of attempts that were cut after they had been taken."""
    refusals: int = 0


@dataclass(frozen=True, slots=True)
class Ask:
    """A request in a caller's words."""

    path: str
    body: dict[str, Any] | None
    key: str
    stream: bool = False
    once: bool = False
    """The call may not be repeated."""
    resend_not_run: Callable[[], bool] = lambda: True
    """False: a truthful "not run" ends the call, to be checked against the stand-ins."""


class Caller:
    """Sends calls to nodes drawn at random among those that a caller would reach."""

    def __init__(self, cluster: FailoverCluster, seed: int) -> None:
        """Draw by `seed`."""
        self._cluster = cluster
        self._random = random.Random(seed)

    async def run(self, call: LogicalCall, ask: Ask) -> Attempt:
        """Send until there is a final outcome, which is noted in `call`."""
        deadline = call.started_at + PATIENCE_SECONDS
        pause = FIRST_PAUSE_SECONDS
        attempt = Attempt(Outcome.UNREACHED)
        while time.monotonic() < deadline:
            attempt = await self._attempt(ask)
            if self._is_final(attempt, call, ask):
                break
            wait = attempt.retry_after_seconds
            await asyncio.sleep(min(wait if wait is not None else pause, MAX_PAUSE_SECONDS))
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
        call.ended_at, call.outcome, call.reason = time.monotonic(), attempt.outcome, attempt.reason
        return attempt

    def _is_final(self, attempt: Attempt, call: LogicalCall, ask: Ask) -> bool:
        if attempt.outcome is Outcome.DONE:
            return True
        if attempt.outcome is Outcome.NOT_RUN:
            call.refusals += 1
            return attempt.retry_after_seconds is None or not ask.resend_not_run()
        if attempt.outcome is Outcome.UNREACHED:
            return False
        call.cuts.append(attempt.reason or attempt.outcome)
        if ask.once and attempt.reason == LASTING_REASON_ONCE:
            return call.cuts.count(attempt.reason) >= LASTING_ANSWERS
        return attempt.reason in LASTING_REASONS

    async def _attempt(self, ask: Ask) -> Attempt:
        nodes = self._cluster.usable()
        if not nodes:
            return Attempt(Outcome.UNREACHED)
        node = self._random.choice(nodes)
        try:
            async with asyncio.timeout(ATTEMPT_SECONDS):
                return await self._send(node, ask)
        except aiohttp.ClientConnectorError:
            return Attempt(Outcome.UNREACHED)
        except TimeoutError:
            return Attempt(Outcome.CUT, reason="no_answer")
        except (aiohttp.ClientError, OSError) as error:
            return Attempt(Outcome.CUT, reason=f"connection_lost:{type(error).__name__}")

    async def _send(self, node: TestedNode, ask: Ask) -> Attempt:
        headers = {"Authorization": f"Bearer {self._cluster.caller_key}"}
        if ask.key:
            headers["Idempotency-Key"] = ask.key
        method = "GET" if ask.body is None else "POST"
        url = node.caller_url + ask.path
        async with self._cluster.session.request(
            method, url, json=ask.body, headers=headers
        ) as response:
            if response.status >= 400:
                return _refusal(await response.json(), response.headers.get("Retry-After"))
            if not ask.stream:
                return Attempt(Outcome.DONE, message=await response.json())
            return _streamed(await response.read())


def _refusal(document: dict[str, Any], retry_after: str | None, streaming: bool = False) -> Attempt:
    error = document["error"]
    return Attempt(
        Outcome(error["run_state"]),
        reason=str(error["code"]),
        detail=str(error["message"]),
        retry_after_seconds=float(retry_after) if retry_after is not None else None,
        streaming=streaming,
    )


def _streamed(data: bytes) -> Attempt:
    text: list[str] = []
    for line in data.split(b"\n\n"):
        payload = line.removeprefix(b"data: ")
        if payload == b"[DONE]":
            return Attempt(Outcome.DONE, text="".join(text))
        if not payload:
            continue
        document = json.loads(payload)
        if "error" in document:
            return _refusal(document, None, streaming=True)
        for choice in document.get("choices", ()):
            text.append(choice["delta"].get("content") or "")
    return Attempt(Outcome.CUT, reason="stream_ended", streaming=True)
