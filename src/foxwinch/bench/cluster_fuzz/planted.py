"""Planted bugs, one for each property: they show that the fuzzer bites.

Each changes the ports or the parts of the nodes of a fuzzed cluster; the product is not touched.
"""

import asyncio
import itertools
from collections.abc import AsyncGenerator, Callable, Sequence
from typing import Any

from foxwinch._generated.journal_pb2 import JournalRecord
from foxwinch.backends.ports import Completed, EngineEvent, GenerateRequest, TokenChunk, ToolRequest
from foxwinch.bench.cluster_fuzz import oracle
from foxwinch.bench.cluster_fuzz.document import ONCE_TOOL, REPEATABLE_TOOL
from foxwinch.bench.cluster_fuzz.world import FuzzNode, ToolOutcome
from foxwinch.core.program import budget
from foxwinch.identifiers import NodeId, ProgramId, WorkerId
from foxwinch.outcomes import Refused, RunState, not_run
from foxwinch.records.program_trees import OpenedTree

Decorate = Callable[[str, Any], Any]


class _Wrapped:
    """A port of which some methods are replaced."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)


class _LateRepeats(_Wrapped):
    """Sends a repeatable tool call a second time, some seconds later."""

    async def call(self, order: ToolRequest) -> ToolOutcome:
        if order.tool == REPEATABLE_TOOL:
            asyncio.get_running_loop().call_later(3.0, self._again, order)
        outcome: ToolOutcome = await self._inner.call(order)
        return outcome

    def _again(self, order: ToolRequest) -> None:
        self._inner.model.run(order, "late", asyncio.get_running_loop().time())


class _DoubledCalls(_Wrapped):
    """Repeats a tool call whose answer was lost, whatever the tool."""

    async def call(self, order: ToolRequest) -> ToolOutcome:
        outcome: ToolOutcome = await self._inner.call(order)
        if isinstance(outcome, Refused) and order.tool == ONCE_TOOL:
            outcome = await self._inner.call(order)
        return outcome


class _DroppedChunks(_Wrapped):
    """Loses the second chunk of every answer."""

    async def generate(
        self, worker: WorkerId, order: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        chunks = 0
        async for event in self._inner.generate(worker, order):
            chunks += isinstance(event, TokenChunk)
            if not (isinstance(event, TokenChunk) and chunks == 2):
                yield event


class _ForgottenReleases(_Wrapped):
    """Answers a release without passing it on."""

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed:
        return Completed()


class _HiddenLeaving(_Wrapped):
    """Hides from a node that machines are leaving."""

    async def machines(self) -> Any:
        listed = await self._inner.machines()
        if isinstance(listed, Refused):
            return listed
        return tuple(_staying(machine) for machine in listed)


def _staying(machine: Any) -> Any:
    return type(machine)(
        machine.name, machine.kind, machine.address, machine.zone, machine.region, False
    )


def _on_port(name: str, wrapper: Callable[[Any], Any]) -> Decorate:
    return lambda port_name, port: wrapper(port) if port_name == name else port


def _on_node(change: Callable[[FuzzNode], None]) -> Decorate:
    def decorate(name: str, port: Any) -> Any:
        if name == "node":
            change(port)
        return port

    return decorate


def _lose_outcomes(node: FuzzNode) -> None:
    """Say that outcomes are committed without committing them."""
    trees: Any = node.node.parts.records.trees
    begin = trees.open

    async def opened(root: ProgramId, previous_owner: NodeId | None = None) -> Any:
        found = await begin(root, previous_owner)
        if isinstance(found, OpenedTree):
            _lose_outcomes_of(found.journal)
        return found

    trees.open = opened


def _lose_outcomes_of(journal: Any) -> None:
    append = journal.append

    async def losing(records: Sequence[JournalRecord]) -> Refused | None:
        kept = [record for record in records if record.WhichOneof("record") != "call_outcome"]
        if not kept:
            return None
        refused: Refused | None = await append(kept)
        return refused

    journal.append = losing


def _refuse_untruly(node: FuzzNode) -> None:
    """Tell callers "not run" where nobody knows."""
    programs: Any = node.node.parts.programs
    execute = programs.execute

    async def untrue(request: Any) -> AsyncGenerator[Any, None]:
        async for event in execute(request):
            if isinstance(event, Refused) and event.run_state is RunState.UNKNOWN:
                event = not_run(event.reason, event.detail)
            yield event

    object.__setattr__(programs, "execute", untrue)


def _forget_budgets(node: FuzzNode) -> None:
    """Let the programs of this node spend without bound."""
    del node
    budget.Ledger.shortage = _no_shortage  # type: ignore[method-assign,assignment]


def _no_shortage(ledger: budget.Ledger, amount: budget.Amount) -> None:
    del ledger, amount


def _stop_at_once(node: FuzzNode) -> None:
    """Stop without waiting for the requests in progress."""

    async def drain() -> bool:
        return True

    node.node.drain = drain  # type: ignore[method-assign]


def _go_back(node: FuzzNode) -> None:
    """Serve the first configuration again now and then."""
    configuration: Any = node.node.configuration
    current = configuration.current
    turns = itertools.count(1)
    first: list[Any] = []

    def reverting() -> Any:
        snapshot = current()
        if not isinstance(snapshot, Refused):
            first.append(snapshot)
        return first[0] if first and next(turns) % 50 == 0 else snapshot

    configuration.current = reverting


def restore() -> None:
    """Undo what a planted bug changed outside the cluster that it was planted in."""
    budget.Ledger.shortage = _SHORTAGE  # type: ignore[method-assign]


_SHORTAGE = budget.Ledger.shortage
PLANTED: dict[str, Decorate] = {
    oracle.ORDER: _on_port("tools", _LateRepeats),
    oracle.HISTORY: _on_node(_lose_outcomes),
    oracle.BUDGET: _on_node(_forget_budgets),
    oracle.MEMORY: _on_port("engine", _ForgottenReleases),
    oracle.WHOLE: _on_port("engine", _DroppedChunks),
    oracle.NOT_RUN: _on_node(_refuse_untruly),
    oracle.ONCE: _on_port("tools", _DoubledCalls),
    oracle.LEAVING: _on_port("machines", _HiddenLeaving),
    oracle.PLANNED: _on_node(_stop_at_once),
    oracle.CONFIGURATION: _on_node(_go_back),
}
"""By property: what makes it fail."""
