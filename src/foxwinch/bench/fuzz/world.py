"""A simulated cluster under fuzzing, with its callers, faults and property checks."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.bench.fuzz.oracle import Oracle, SentRequest
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
"""Time after the last fault; several times as long as detection, takeover and retries need."""
SETTLE_STEP_SECONDS = 10.0
Value = TypeVar("Value")


class PropertyBrokenError(AssertionError):
    """At least one property is violated."""


class World:
    """A cluster on its own event loop with virtual time."""

    def __init__(self, document: ClusterConfiguration, nodes: int, seed: int) -> None:
        """Start `nodes` nodes and wait `START_SECONDS` for membership to converge."""
        self.loop = looptime.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.oracle = Oracle()
        self.tasks: set[asyncio.Task[None]] = set()
        self.paused: VirtualNode | None = None
        self.isolated: VirtualNode | None = None
        self._sent = 0
        self.cluster = self.run(self._start(document, nodes, seed))

    async def _start(self, document: ClusterConfiguration, nodes: int, seed: int) -> VirtualCluster:
        cluster = VirtualCluster(document, seed)
        await cluster.add(nodes)
        await cluster.clock.sleep(START_SECONDS)
        return cluster

    def run(self, work: Coroutine[Any, Any, Value]) -> Value:
        """Run the event loop until `work` ends."""
        return self.loop.run_until_complete(work)

    def advance(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run(asyncio.sleep(seconds))

    def close(self) -> None:
        """Cancel the callers, stop the cluster and close the loop."""
        for task in self.tasks:
            task.cancel()
        self.run(self._close())
        self.loop.close()

    async def _close(self) -> None:
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.cluster.stop()

    # --- callers -------------------------------------------------------------------------

    def nodes(self) -> list[VirtualNode]:
        """Return the running nodes that are not frozen."""
        return [node for node in self.cluster.nodes.values() if node is not self.paused]

    def node(self, number: int) -> VirtualNode:
        """Return a running node, chosen by `number`."""
        running = self.nodes()
        return running[number % len(running)]

    def create(self, name: str, number: int) -> None:
        """Create a program; the oracle tracks it only if the caller received a confirmation."""
        request = CreateRequest(TENANT, _program_id(name), TEMPLATE)
        outcome = self.run(_last_event(self.node(number), request))
        if isinstance(outcome, ProgramDetails):
            self.oracle.programs[name] = []

    def call(self, name: str, number: int) -> None:
        """Send a model call without waiting for the response."""
        sent = self._new_request(name)
        request = ModelCallRequest(
            tenant=TENANT,
            program_id=_program_id(name),
            model=MODEL,
            messages=(HistoryMessage(role="user", content=sent.text),),
            append=True,
            maximum_tokens=ANSWER_TOKENS,
            idempotency_key=sent.text,
        )
        self._send(sent, request, number)

    def tool(self, name: str, number: int) -> None:
        """Send a call of a non-repeatable tool without waiting for the response."""
        sent = self._new_request(name, TOOL)
        arguments = canonical_json({"entry": sent.text})
        request = ToolCallRequest(
            TENANT, _program_id(name), TOOL, arguments, idempotency_key=sent.text
        )
        self._send(sent, request, number)

    def _new_request(self, name: str, tool: str = "") -> SentRequest:
        self._sent += 1
        sent = SentRequest(f"{name} request {self._sent}", tool)
        self.oracle.programs[name].append(sent)
        return sent

    def _send(self, sent: SentRequest, request: ProgramRequest, number: int) -> None:
        task = self.loop.create_task(_follow(self.node(number), request, sent))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def busy(self, name: str) -> bool:
        """Return whether a request of the program is in flight."""
        return any(not sent.ended for sent in self.oracle.programs[name])

    # --- checks --------------------------------------------------------------------------

    def check(self) -> None:
        """Check the properties that must hold after every step."""
        problems = self.oracle.tool_problems(self._tool_runs())
        for node in self.nodes():
            snapshot = node.node.configuration.current()
            if not isinstance(snapshot, Refused):
                problems += self.oracle.revision_problems(node.identity, snapshot.revision)
        _raise_if_any(problems)

    def check_settled(self) -> None:
        """Clear every fault, wait up to `SETTLE_SECONDS`, and check every property."""
        self.lift_faults()
        problems = self._unsettled()
        waited = 0.0
        while problems and waited < SETTLE_SECONDS:
            self.advance(SETTLE_STEP_SECONDS)
            waited += SETTLE_STEP_SECONDS
            problems = self._unsettled()
        self.check()
        for name in self.oracle.programs:
            problems += self.run(self._finish_problems(name))
        _raise_if_any(problems)

    def _unsettled(self) -> list[str]:
        problems = [
            f"settles: {sent.text} has no response"
            for requests in self.oracle.programs.values()
            for sent in requests
            if not sent.ended
        ]
        problems += self._membership_problems()
        for name in self.oracle.programs:
            problems += self.run(self._program_problems(name))
        return problems

    def lift_faults(self) -> None:
        """Clear every active fault."""
        self.cluster.network.heal()
        self.isolated = None
        if self.paused is not None:
            self.cluster.resume(self.paused)
            self.paused = None
        self.set_store_down(down=False)

    def set_store_down(self, down: bool) -> None:
        """Make the shared store unavailable or available for every node."""
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
                problems.append(f"settles: {node.identity} has a wrong state of {alive ^ expected}")
        return problems

    async def _program_problems(self, name: str) -> list[str]:
        problems: list[str] = []
        for node in self.cluster.nodes.values():
            details = await _last_event(node, HistoryRequest(TENANT, _program_id(name)))
            if not isinstance(details, ProgramDetails):
                problems.append(f"history: {node.identity} responded for {name}: {details}")
                continue
            problems += self.oracle.history_problems(name, details.history)
            if details.spent.tokens > details.budget.tokens:
                problems.append(f"budget: {name} spent {details.spent.tokens} tokens")
        return problems

    async def _finish_problems(self, name: str) -> list[str]:
        ended = await _last_event(
            self.node(0), EndRequest(TENANT, _program_id(name), False, "fuzz")
        )
        if isinstance(ended, Refused):
            return [f"settles: {name} cannot be finished: {ended}"]
        return []


async def _follow(node: VirtualNode, request: ProgramRequest, sent: SentRequest) -> None:
    """Follow a request to its end and record what the caller receives."""
    chunk_texts: list[str] = []
    last: ProgramEvent | None = None
    async for event in node.execute(request):
        if isinstance(event, CallChunks):
            chunk_texts += [chunk.text for chunk in event.chunks]
        last = event
    if isinstance(last, CallFinished):
        sent.response = "".join(chunk_texts)
    elif isinstance(last, ToolFinished):
        sent.response = last.message.content
    else:
        sent.refused = last.run_state if isinstance(last, Refused) else RunState.UNKNOWN


async def _last_event(node: VirtualNode, request: ProgramRequest) -> ProgramEvent | None:
    last: ProgramEvent | None = None
    async for event in node.execute(request):
        last = event
    return last


def _program_id(name: str) -> ProgramId:
    return ProgramId(f"{TENANT}/{name}")


def _raise_if_any(problems: list[str]) -> None:
    if problems:
        raise PropertyBrokenError("; ".join(sorted(set(problems))))
