"""A cluster under fuzzing: requests by callers, faults, and the check of everything at once."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.bench.fuzz.oracle import Oracle, Sent
from foxwinch.commands.requests import (
    CreateRequest,
    EndRequest,
    HistoryRequest,
    ModelCallRequest,
    ProgramRequest,
    ToolCallRequest,
)
from foxwinch.core.membership.member import MemberState
from foxwinch.core.program.call_events import (
    CallChunks,
    CallFinished,
    ProgramDetails,
    ProgramEvent,
    ToolFinished,
)
from foxwinch.core.program.history import canonical_json
from foxwinch.emulator.virtual_cluster import VirtualCluster, VirtualNode
from foxwinch.identifiers import ModelName, ProgramId, TenantName, ToolName
from foxwinch.outcomes import Refused, RunState
from foxwinch.settings.cluster import ClusterConfiguration

TENANT = TenantName("ward-discharge")
TEMPLATE = "coaching"
MODEL = ModelName("plan-llm")
TOOL = ToolName("session-log")
ANSWER_TOKENS = 4
START_SECONDS = 20.0
SETTLE_SECONDS = 240.0
"""After the last fault: detection, takeover, recovery and every retry fit many times."""
SETTLE_STEP_SECONDS = 10.0
Value = TypeVar("Value")


class PropertyBrokenError(AssertionError):
    """One of the properties that must always hold does not."""


class World:
    """One run: a cluster on its own virtual loop."""

    def __init__(self, document: ClusterConfiguration, nodes: int, seed: int) -> None:
        """Start so many nodes and wait until they know each other."""
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.oracle = Oracle()
        self.tasks: set[asyncio.Task[None]] = set()
        self.paused: VirtualNode | None = None
        self.cut: VirtualNode | None = None
        self._sent = 0
        self.cluster = self.run(self._start(document, nodes, seed))

    async def _start(self, document: ClusterConfiguration, nodes: int, seed: int) -> VirtualCluster:
        cluster = VirtualCluster(document, seed)
        await cluster.add(nodes)
        await cluster.clock.sleep(START_SECONDS)
        return cluster

    def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run until `work` is done."""
        return self.loop.run_until_complete(work)

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def close(self) -> None:
        """Stop everything."""
        for task in self.tasks:
            task.cancel()
        self.run(self._close())
        self.loop.close()

    async def _close(self) -> None:
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.cluster.stop()

    # --- callers -------------------------------------------------------------------------

    def nodes(self) -> list[VirtualNode]:
        """Return the nodes that run and are not frozen."""
        return [node for node in self.cluster.nodes.values() if node is not self.paused]

    def node(self, number: int) -> VirtualNode:
        """Return one of the running nodes."""
        running = self.nodes()
        return running[number % len(running)]

    def create(self, name: str, number: int) -> None:
        """Create a program at some node; it counts once the caller has heard of it."""
        request = CreateRequest(TENANT, _identity(name), TEMPLATE)
        outcome = self.run(_last(self.node(number), request))
        if isinstance(outcome, ProgramDetails):
            self.oracle.programs[name] = []

    def call(self, name: str, number: int) -> None:
        """Send a model call; it goes on while other steps are taken."""
        sent = self._new(name)
        request = ModelCallRequest(
            tenant=TENANT,
            program_id=_identity(name),
            model=MODEL,
            messages=(HistoryMessage(role="user", content=sent.text),),
            append=True,
            maximum_tokens=ANSWER_TOKENS,
            idempotency_key=sent.text,
        )
        self._send(sent, request, number)

    def tool(self, name: str, number: int) -> None:
        """Send a call of a tool that may not be repeated."""
        sent = self._new(name, TOOL)
        arguments = canonical_json({"entry": sent.text})
        request = ToolCallRequest(
            TENANT, _identity(name), TOOL, arguments, idempotency_key=sent.text
        )
        self._send(sent, request, number)

    def _new(self, name: str, tool: str = "") -> Sent:
        self._sent += 1
        sent = Sent(f"{name} request {self._sent}", tool)
        self.oracle.programs[name].append(sent)
        return sent

    def _send(self, sent: Sent, request: ProgramRequest, number: int) -> None:
        task = self.loop.create_task(_follow(self.node(number), request, sent))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def busy(self, name: str) -> bool:
        """Tell whether the program's caller still waits for an answer."""
        return any(not sent.ended for sent in self.oracle.programs[name])

    # --- checks --------------------------------------------------------------------------

    def check(self) -> None:
        """Check what can be checked at any moment."""
        problems = self.oracle.tool_problems(self._tool_runs())
        for node in self.nodes():
            snapshot = node.node.configuration.current()
            if not isinstance(snapshot, Refused):
                problems += self.oracle.revision_problems(node.identity, snapshot.revision)
        _raise(problems)

    def check_settled(self) -> None:
        """Mend every fault, let all settle within a bound, and check everything."""
        self.mend()
        problems = self._unsettled()
        waited = 0.0
        while problems and waited < SETTLE_SECONDS:
            self.advance(SETTLE_STEP_SECONDS)
            waited += SETTLE_STEP_SECONDS
            problems = self._unsettled()
        self.check()
        for name in self.oracle.programs:
            problems += self.run(self._finish_problems(name))
        _raise(problems)

    def _unsettled(self) -> list[str]:
        problems = [
            f"settles: {sent.text} has no end"
            for requests in self.oracle.programs.values()
            for sent in requests
            if not sent.ended
        ]
        problems += self._membership_problems()
        for name in self.oracle.programs:
            problems += self.run(self._program_problems(name))
        return problems

    def mend(self) -> None:
        """End every fault that can end."""
        self.cluster.network.heal()
        self.cut = None
        if self.paused is not None:
            self.cluster.resume(self.paused)
            self.paused = None
        self.set_table(down=False)

    def set_table(self, down: bool) -> None:
        """Let the shared store fail or work, for every node."""
        for node in self.cluster.nodes.values():
            gate = node.records.gate
            gate.faults = gate.faults.model_copy(update={"down": down})

    def _tool_runs(self) -> Counter[str]:
        return Counter(
            str(execution.arguments["entry"]) for execution in self.cluster.tools.executions
        )

    def _membership_problems(self) -> list[str]:
        expected = set(self.cluster.nodes)
        problems = []
        for node in self.cluster.nodes.values():
            members = node.node.parts.membership.membership.members()
            alive = {member.node for member in members if member.state is MemberState.ALIVE}
            if alive != expected:
                problems.append(f"settles: {node.identity} sees {alive ^ expected} otherwise")
        return problems

    async def _program_problems(self, name: str) -> list[str]:
        problems: list[str] = []
        for node in self.cluster.nodes.values():
            details = await _last(node, HistoryRequest(TENANT, _identity(name)))
            if not isinstance(details, ProgramDetails):
                problems.append(f"history: {node.identity} says of {name}: {details}")
                continue
            problems += self.oracle.history_problems(name, details.history)
            if details.spent.tokens > details.budget.tokens:
                problems.append(f"budget: {name} spent {details.spent.tokens} tokens")
        return problems

    async def _finish_problems(self, name: str) -> list[str]:
        ended = await _last(self.node(0), EndRequest(TENANT, _identity(name), False, "fuzz"))
        if isinstance(ended, Refused):
            return [f"settles: {name} cannot be finished: {ended}"]
        return []


async def _follow(node: VirtualNode, request: ProgramRequest, sent: Sent) -> None:
    """Follow a request to its end and note what the caller is told."""
    pieces: list[str] = []
    last: ProgramEvent | None = None
    async for event in node.execute(request):
        if isinstance(event, CallChunks):
            pieces += [chunk.text for chunk in event.chunks]
        last = event
    if isinstance(last, CallFinished):
        sent.answer = "".join(pieces)
    elif isinstance(last, ToolFinished):
        sent.answer = last.message.content
    else:
        sent.refused = last.run_state if isinstance(last, Refused) else RunState.UNKNOWN


async def _last(node: VirtualNode, request: ProgramRequest) -> ProgramEvent | None:
    last: ProgramEvent | None = None
    async for event in node.execute(request):
        last = event
    return last


def _identity(name: str) -> ProgramId:
    return ProgramId(f"{TENANT}/{name}")


def _raise(problems: list[str]) -> None:
    if problems:
        raise PropertyBrokenError("; ".join(sorted(set(problems))))
