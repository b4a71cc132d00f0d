"""Load of programs that make model calls, repeatable tool calls and non-repeatable tool calls."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

from foxwinch.backends.ports import Message
from foxwinch.bench.failover.calls import Attempt, Caller, CallRequest, LogicalCall, Outcome
from foxwinch.bench.failover.cluster import FailoverCluster
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.emulator.engine_responses import history_marker
from foxwinch.identifiers import TenantName
from foxwinch.settings.cluster import ClusterConfiguration, TemplateSettings

TURNS = 6
"""Model calls of a program, which takes about ten seconds with its tool calls."""
MAX_THINK_SECONDS = 0.3
"""Maximum pause between two turns of a program."""
ABANDON_SHARE = 0.5
"""Share of non-repeatable calls that are not retried after "not run", to verify the refusal."""


@dataclass(slots=True)
class ProgramRecord:
    """The calls and the history of one program as its caller knows them."""

    name: str
    program_id: str
    expected: list[tuple[str, str]] = field(default_factory=list)
    """Role and content of every message that the history must contain."""
    calls: list[LogicalCall] = field(default_factory=list)
    tools: dict[str, LogicalCall] = field(default_factory=dict)
    """The single call of each non-repeatable tool."""
    lost: list[str] = field(default_factory=list)
    mixed: list[str] = field(default_factory=list)
    untrue_not_run: list[str] = field(default_factory=list)
    read_back: bool = False


class ProgramLoad:
    """Concurrent callers, each of which runs one program after another until stopped."""

    def __init__(self, cluster: FailoverCluster, callers: int, seed: int) -> None:
        """Use the template with the most tools in the configuration."""
        self._cluster = cluster
        self._callers = callers
        self._seed = seed
        self._template = max(cluster.document.templates, key=lambda t: len(t.tools))
        self._tools = _template_tools(cluster.document, self._template)
        self._stopping = False
        self.records: list[ProgramRecord] = []

    async def run(self) -> None:
        """Run until `stop` is called and every caller has finished its program."""
        await asyncio.gather(*(self._run_caller(number) for number in range(self._callers)))

    def stop(self) -> None:
        """Make every caller read back and finish its program after the current turn."""
        self._stopping = True

    def calls(self) -> list[LogicalCall]:
        """Return every call sent so far."""
        return [call for record in self.records for call in record.calls]

    async def _run_caller(self, number: int) -> None:
        count = 0
        while not self._stopping:
            name = f"run{self._seed}-caller{number}-{count}"
            driver = _ProgramDriver(
                self._cluster, name, self._template, self._tools, hash((self._seed, number, count))
            )
            self.records.append(driver.record)
            await driver.run(lambda: self._stopping)
            count += 1


@dataclass(frozen=True, slots=True)
class _Tools:
    repeatable: tuple[str, ...]
    once: tuple[str, ...]


def _template_tools(document: ClusterConfiguration, template: TemplateSettings) -> _Tools:
    declared = {tool.name: tool.repeatable for tool in document.tools}
    return _Tools(
        tuple(name for name in template.tools if declared[name]),
        tuple(name for name in template.tools if not declared[name]),
    )


class _ProgramDriver:
    """Runs one program from creation to finish."""

    def __init__(
        self,
        cluster: FailoverCluster,
        name: str,
        template: TemplateSettings,
        tools: _Tools,
        seed: int,
    ) -> None:
        tenant = TenantName(cluster.document.tenants[0].name)
        self.record = ProgramRecord(name, scoped_program_id(tenant, name))
        self._template = template
        self._tools = tools
        self._caller = Caller(cluster, seed)
        self._random = random.Random(seed)
        self._path = f"/v1/programs/{name}"

    async def run(self, is_stopping: Any) -> None:
        """Create the program, make its calls, read back its history and finish it."""
        body = {"template": self._template.name, "name": self.record.name}
        created = await self._call("create", CallRequest("/v1/programs", body, self._key("create")))
        if created.outcome is not Outcome.DONE:
            return
        for turn in range(TURNS):
            await self._turn(turn)
            if is_stopping():
                break
            await asyncio.sleep(self._random.random() * MAX_THINK_SECONDS)
        await self._read_back()
        await self._call("finish", CallRequest(f"{self._path}/finish", {}, self._key("finish")))

    async def _turn(self, turn: int) -> None:
        await self._model(turn)
        if turn < len(self._tools.once):
            await self._tool(self._tools.once[turn], turn, once=True)
        elif self._tools.repeatable:
            tool = self._tools.repeatable[turn % len(self._tools.repeatable)]
            await self._tool(tool, turn, once=False)

    async def _model(self, turn: int) -> None:
        question = f"{self.record.name}: what follows after step {turn}?"
        messages = [*self.record.expected, ("user", question)]
        body = {
            "model": self._template.models[0],
            "messages": [{"role": "user", "content": question}],
            "stream": True,
            "max_tokens": 16,
        }
        request = CallRequest(f"{self._path}/calls", body, self._key(f"model-{turn}"), stream=True)
        attempt = await self._call("model", request)
        if attempt.outcome is Outcome.DONE:
            self._check_marker(messages, attempt.text)
            self.record.expected = [*messages, ("assistant", attempt.text)]
        else:
            await self._resume_from_history(question, attempt)

    async def _tool(self, tool: str, turn: int, once: bool) -> None:
        arguments = {"train": self.record.name, "seats": ["1A"], "entry": self.record.name}
        body = {"tool": tool, "arguments": arguments}
        abandon = once and self._random.random() < ABANDON_SHARE
        request = CallRequest(
            f"{self._path}/tools",
            body,
            self._key(f"{tool}-{turn}"),
            once=once,
            resend_not_run=lambda: not abandon,
        )
        attempt = await self._call(tool, request)
        if once:
            self.record.tools[tool] = self.record.calls[-1]
        if attempt.outcome is Outcome.DONE:
            content = str(attempt.message["message"]["content"])
            self.record.expected.append(("tool", content))
        else:
            await self._resume_from_history("", attempt)

    def _check_marker(self, messages: list[tuple[str, str]], text: str) -> None:
        """Check that the engine responded to the history that the caller knows."""
        sent = [Message(role, content) for role, content in messages]
        marker = history_marker(self.record.program_id, sent)  # type: ignore[arg-type]
        if text.startswith(marker):
            return
        if f"[program={self.record.program_id} " in text:
            self.record.lost.append(f"response to another history: {text[:120]!r}")
        else:
            self.record.mixed.append(f"response to another program: {text[:120]!r}")

    async def _resume_from_history(self, question: str, attempt: Attempt) -> None:
        """Adopt the stored history after a call without a response, and check its known part."""
        history = await self._history()
        if history is None:
            return
        self._check_known(history)
        added = history[len(self.record.expected) :]
        if attempt.outcome is Outcome.NOT_RUN and added:
            cuts = ",".join(self.record.calls[-2].cuts)
            self.record.untrue_not_run.append(
                f"history grew by {len(added)} messages after {attempt.reason}"
                f" ({attempt.detail}); interrupted attempts: {cuts or 'none'}"
            )
        self._check_foreign(added)
        self.record.expected = history

    async def _read_back(self) -> None:
        history = await self._history()
        if history is None:
            return
        self.record.read_back = True
        self._check_known(history)
        self._check_foreign(history)
        if len(history) > len(self.record.expected):
            self.record.mixed.append(
                f"{len(history) - len(self.record.expected)} unexpected messages at the end"
            )

    def _check_known(self, history: list[tuple[str, str]]) -> None:
        known = self.record.expected
        if history[: len(known)] != known:
            same = sum(a == b for a, b in zip(history, known, strict=False))
            self.record.lost.append(
                f"{len(known)} messages known, {same} of them at their position in the history"
            )

    def _check_foreign(self, messages: list[tuple[str, str]]) -> None:
        for role, content in messages:
            if role in ("user", "assistant") and self.record.name not in content:
                self.record.mixed.append(f"message of another program: {content[:120]!r}")

    async def _history(self) -> list[tuple[str, str]] | None:
        attempt = await self._call("history", CallRequest(f"{self._path}/history", None, ""))
        if attempt.outcome is not Outcome.DONE:
            return None
        return [(m["role"], m["content"]) for m in attempt.message["messages"]]

    async def _call(self, kind: str, request: CallRequest) -> Attempt:
        call = LogicalCall(self.record.name, kind, time.monotonic())
        self.record.calls.append(call)
        return await self._caller.run(call, request)

    def _key(self, what: str) -> str:
        return f"{self.record.name}-{what}"
