"""Planted bugs, one for each property, which show that the fuzzer detects violations.

Each replaces ports or parts of the nodes of a fuzzed cluster; production code is unchanged.
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


class _PortWrapper:
    """Base class of ports that replace some methods of another port."""

    def __init__(self, inner: Any) -> None:
        self._inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self._inner, name)


class _LateDuplicates(_PortWrapper):
    """Runs a repeatable tool call a second time, three seconds later."""

    async def call(self, request: ToolRequest) -> ToolOutcome:
        if request.tool == REPEATABLE_TOOL:
            asyncio.get_running_loop().call_later(3.0, self._run_again, request)
        outcome: ToolOutcome = await self._inner.call(request)
        return outcome

    def _run_again(self, request: ToolRequest) -> None:
        self._inner.model.run(request, "late", asyncio.get_running_loop().time())


class _RetriedCalls(_PortWrapper):
    """Retries a failed call of the tool that must run at most once."""

    async def call(self, request: ToolRequest) -> ToolOutcome:
        outcome: ToolOutcome = await self._inner.call(request)
        if isinstance(outcome, Refused) and request.tool == ONCE_TOOL:
            outcome = await self._inner.call(request)
        return outcome


class _DroppedChunks(_PortWrapper):
    """Drops the second chunk of every response."""

    async def generate(
        self, worker: WorkerId, request: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        chunks = 0
        async for event in self._inner.generate(worker, request):
            chunks += isinstance(event, TokenChunk)
            if not (isinstance(event, TokenChunk) and chunks == 2):
                yield event


class _IgnoredReleases(_PortWrapper):
    """Acknowledges a release without forwarding it to the engine."""

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed:
        return Completed()


class _HiddenDepartures(_PortWrapper):
    """Reports leaving machines as staying."""

    async def machines(self) -> Any:
        listed = await self._inner.machines()
        if isinstance(listed, Refused):
            return listed
        return tuple(_without_departure(machine) for machine in listed)


def _without_departure(machine: Any) -> Any:
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
    """Acknowledge appended call outcomes without storing them."""
    trees: Any = node.node.parts.records.trees
    inner_open = trees.open

    async def open_tree(root: ProgramId, previous_owner: NodeId | None = None) -> Any:
        found = await inner_open(root, previous_owner)
        if isinstance(found, OpenedTree):
            _lose_outcomes_of(found.journal)
        return found

    trees.open = open_tree


def _lose_outcomes_of(journal: Any) -> None:
    append = journal.append

    async def append_without_outcomes(records: Sequence[JournalRecord]) -> Refused | None:
        kept = [record for record in records if record.WhichOneof("record") != "call_outcome"]
        if not kept:
            return None
        refused: Refused | None = await append(kept)
        return refused

    journal.append = append_without_outcomes


def _report_unknown_as_not_run(node: FuzzNode) -> None:
    """Report an unknown outcome to callers as "not run"."""
    programs: Any = node.node.parts.programs
    execute = programs.execute

    async def falsified_execute(request: Any) -> AsyncGenerator[Any, None]:
        async for event in execute(request):
            if isinstance(event, Refused) and event.run_state is RunState.UNKNOWN:
                event = not_run(event.reason, event.detail)
            yield event

    object.__setattr__(programs, "execute", falsified_execute)


def _disable_budgets(node: FuzzNode) -> None:
    """Disable the budget check; the patch applies to every node of the process."""
    del node
    budget.Ledger.shortage = _no_shortage  # type: ignore[method-assign,assignment]


def _no_shortage(ledger: budget.Ledger, amount: budget.Amount) -> None:
    del ledger, amount


def _stop_without_draining(node: FuzzNode) -> None:
    """Make draining return at once, without waiting for in-flight requests."""

    async def drain() -> bool:
        return True

    node.node.drain = drain  # type: ignore[method-assign]


def _revert_configuration(node: FuzzNode) -> None:
    """Return the first configuration instead of the current one on every 50th read."""
    configuration: Any = node.node.configuration
    current = configuration.current
    reads = itertools.count(1)
    first: list[Any] = []

    def current_or_first() -> Any:
        snapshot = current()
        if not isinstance(snapshot, Refused):
            first.append(snapshot)
        return first[0] if first and next(reads) % 50 == 0 else snapshot

    configuration.current = current_or_first


def restore() -> None:
    """Undo the changes that a planted bug made to shared classes."""
    budget.Ledger.shortage = _SHORTAGE  # type: ignore[method-assign]


_SHORTAGE = budget.Ledger.shortage
PLANTED: dict[str, Decorate] = {
    oracle.ORDER: _on_port("tools", _LateDuplicates),
    oracle.HISTORY: _on_node(_lose_outcomes),
    oracle.BUDGET: _on_node(_disable_budgets),
    oracle.MEMORY: _on_port("engine", _IgnoredReleases),
    oracle.COMPLETE: _on_port("engine", _DroppedChunks),
    oracle.NOT_RUN: _on_node(_report_unknown_as_not_run),
    oracle.ONCE: _on_port("tools", _RetriedCalls),
    oracle.LEAVING: _on_port("machines", _HiddenDepartures),
    oracle.PLANNED: _on_node(_stop_without_draining),
    oracle.CONFIGURATION: _on_node(_revert_configuration),
}
"""The planted bug that violates each property, by the name of the property."""
