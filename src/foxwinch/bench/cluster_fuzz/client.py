"""Callers of a fuzzed cluster; the calls of one program are sent sequentially."""

import asyncio
import json
from contextlib import aclosing
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.bench.cluster_fuzz.document import MODEL, ONCE_TOOL, REPEATABLE_TOOL, TENANT
from foxwinch.bench.cluster_fuzz.simulated_process import CURRENT
from foxwinch.bench.cluster_fuzz.world import FuzzNode, FuzzWorld
from foxwinch.commands.requests import (
    CreateRequest,
    EndRequest,
    HistoryRequest,
    ModelCallRequest,
    ProgramRequest,
    ToolCallRequest,
)
from foxwinch.core.program.call_events import CallChunks, ProgramDetails, ProgramEvent
from foxwinch.identifiers import ModelName, ProgramId, TenantName, ToolName
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown

ANSWER_TOKENS = 8
CLIENT_TIMEOUT_SECONDS = 90.0
"""Time after which a caller stops waiting for a response."""
NODE_LOST = outcome_unknown(Reason.PEER_UNREACHABLE, "the node terminated before it responded")
CALLER_GONE = outcome_unknown(Reason.CANCELLED, "the caller disconnected or timed out")


class CallKind(StrEnum):
    """Kind of a call."""

    MODEL = "model"
    REPEATABLE = "repeatable tool"
    ONCE = "tool that runs once"


@dataclass(slots=True)
class ClientCall:
    """A call as its caller sees it; its user message or tool arguments contain `marker`."""

    program: str
    number: int
    kind: CallKind
    response: ProgramEvent | None = None
    """The last response; None while the call is in flight."""
    text: str = ""
    attempts: int = 0
    node: int | None = None

    @property
    def marker(self) -> str:
        """Text that identifies the call; unique in the run."""
        return f"{self.program}#{self.number}"

    @property
    def succeeded(self) -> bool:
        """True once the caller has the complete response."""
        return self.response is not None and not isinstance(self.response, Refused)

    @property
    def refused_as_not_run(self) -> bool:
        """True if the last response is a refusal with run state `not_run`."""
        return isinstance(self.response, Refused) and self.response.run_state is RunState.NOT_RUN


@dataclass(slots=True)
class ClientProgram:
    """A program and its calls, in the order in which they were sent."""

    name: str
    template: str
    calls: list[ClientCall] = field(default_factory=list)
    created: bool = False
    ended: bool = False

    @property
    def program_id(self) -> ProgramId:
        """The program's identifier in the cluster."""
        return ProgramId(f"{TENANT}/{self.name}")

    def answered(self) -> list[ClientCall]:
        """Return the calls whose complete response the caller has received."""
        return [call for call in self.calls if call.succeeded]

    @property
    def busy(self) -> bool:
        """True while a call is in flight."""
        return bool(self.calls) and self.calls[-1].response is None


class Callers:
    """Sends requests to nodes of the cluster as callers do."""

    def __init__(self, world: FuzzWorld) -> None:
        """Send requests to the nodes of `world`."""
        self._world = world
        self.programs: list[ClientProgram] = []
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def create(self, node: FuzzNode, template: str) -> ClientProgram:
        """Create a program and wait for the response."""
        program = ClientProgram(f"p{len(self.programs)}x", template)
        self.programs.append(program)
        request = CreateRequest(
            TenantName(TENANT), program.program_id, template, f"create-{program.name}"
        )
        final, _ = self._world.run(self._request(node, request))
        program.created = isinstance(final, ProgramDetails)
        return program

    def call(self, node: FuzzNode, program: ClientProgram, kind: CallKind) -> None:
        """Send the program's next call without waiting for the response."""
        call = ClientCall(program.name, len(program.calls) + 1, kind)
        program.calls.append(call)
        self._send(node, call)

    def resend(self, node: FuzzNode, program: ClientProgram) -> None:
        """Resend the program's last call with the same idempotency key."""
        self._send(node, program.calls[-1])

    def disconnect(self, program: ClientProgram) -> None:
        """Disconnect the caller of the program's last call."""
        task = self._tasks.get(program.name)
        if task is not None:
            task.cancel()
            self._world.sleep(0.01)

    def end(self, node: FuzzNode, program: ClientProgram) -> None:
        """Finish a program."""
        request = EndRequest(
            TenantName(TENANT), program.program_id, False, "done", f"end-{program.name}"
        )
        final, _ = self._world.run(self._request(node, request))
        program.ended = isinstance(final, ProgramDetails)

    def history(self, node: FuzzNode, program: ClientProgram) -> ProgramDetails | Refused:
        """Read a program's history."""
        request = HistoryRequest(TenantName(TENANT), program.program_id)
        final, _ = self._world.run(self._request(node, request))
        return final if isinstance(final, ProgramDetails) else _refused(final)

    def _send(self, node: FuzzNode, call: ClientCall) -> None:
        call.response, call.text, call.node = None, "", node.number
        call.attempts += 1
        task = self._world.loop.create_task(self._follow(node, call))
        self._tasks[call.program] = task

    async def _follow(self, node: FuzzNode, call: ClientCall) -> None:
        try:
            call.response, call.text = await self._request(node, _request(call))
        except asyncio.CancelledError:
            call.response = CALLER_GONE

    async def _request(self, node: FuzzNode, request: ProgramRequest) -> tuple[ProgramEvent, str]:
        """Send a request as the node's HTTP server does; killing the node closes the connection."""
        if node.node.gate.closed:
            return not_run(Reason.DRAINING, "draining"), ""
        events: list[ProgramEvent] = []
        serving = asyncio.get_running_loop().create_task(_serve(node, request, events))
        try:
            done, _ = await asyncio.wait({serving}, timeout=CLIENT_TIMEOUT_SECONDS)
        finally:
            serving.cancel()
        if not done:
            return CALLER_GONE, ""
        if serving.cancelled():
            return NODE_LOST, ""
        error = serving.exception()
        if error is not None:
            raise error
        text = "".join(
            chunk.text
            for event in events
            if isinstance(event, CallChunks)
            for chunk in event.chunks
        )
        return events[-1], text


async def _serve(node: FuzzNode, request: ProgramRequest, events: list[ProgramEvent]) -> None:
    CURRENT.set(node.process)
    task = asyncio.current_task()
    assert task is not None
    node.process.track(task)
    with node.node.gate.admitted():
        await node.process.gate()
        stream: Any = node.node.parts.programs.execute(request)
        async with aclosing(stream) as responses:
            async for event in responses:
                events.append(event)
                await node.process.gate()


def _request(call: ClientCall) -> ProgramRequest:
    program = ProgramId(f"{TENANT}/{call.program}")
    tenant, key = TenantName(TENANT), f"key-{call.marker}"
    if call.kind is CallKind.MODEL:
        message = HistoryMessage(role="user", content=call.marker)
        return ModelCallRequest(
            tenant, program, ModelName(MODEL), (message,), True, ANSWER_TOKENS, key
        )
    tool = REPEATABLE_TOOL if call.kind is CallKind.REPEATABLE else ONCE_TOOL
    arguments = json.dumps({"entry": call.marker})
    return ToolCallRequest(tenant, program, ToolName(tool), arguments, "", key)


def _refused(event: ProgramEvent) -> Refused:
    assert isinstance(event, Refused), event
    return event
