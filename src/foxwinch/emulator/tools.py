"""In-memory model of tool services: every execution is recorded, seats are kept in a ledger."""

import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from foxwinch.backends.ports import JsonValue, ToolRequest, ToolResult
from foxwinch.identifiers import CallId, ProgramId, ToolName
from foxwinch.outcomes import Reason, Refused, not_run


@dataclass(frozen=True, slots=True)
class ToolExecution:
    """One run of a tool, as the tool itself saw it."""

    call_id: CallId
    program_id: ProgramId
    tool: ToolName
    arguments: JsonValue
    worker: str
    at_seconds: float


class SeatLedger:
    """Who holds which seat of a train, with every violation that a double run would cause."""

    def __init__(self) -> None:
        """Start with all seats free."""
        self.holders: dict[str, str] = {}
        """Program by `train/seat`, held or confirmed."""
        self.confirmed: set[str] = set()
        self.violations: list[str] = []
        """Confirmations and releases of seats that the program did not hold."""

    def hold(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Hold seats that are free; all of them or none."""
        seats = _seats(arguments)
        taken = [seat for seat in seats if self.holders.get(seat, program) != program]
        if taken:
            return f"taken: {', '.join(taken)}"
        self.holders.update(dict.fromkeys(seats, program))
        return f"held: {', '.join(seats)}"

    def confirm(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Confirm seats that the program holds."""
        return self._each(program, arguments, "confirmed", self.confirmed.add)

    def release(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Free seats that the program holds."""
        return self._each(program, arguments, "released", self._free)

    def _free(self, seat: str) -> None:
        del self.holders[seat]
        self.confirmed.discard(seat)

    def _each(
        self,
        program: str,
        arguments: Mapping[str, Any],
        done: str,
        change: Callable[[str], None],
    ) -> str:
        seats = _seats(arguments)
        foreign = [seat for seat in seats if self.holders.get(seat) != program]
        if foreign:
            self.violations.append(f"{done} {', '.join(foreign)} not held by {program}")
            return f"not held: {', '.join(foreign)}"
        for seat in seats:
            change(seat)
        return f"{done}: {', '.join(seats)}"


class ToolModel:
    """All tool services of a deployment."""

    def __init__(self, tools: tuple[ToolName, ...] | None = None) -> None:
        """Serve `tools`, or every name when None."""
        self._tools = None if tools is None else frozenset(tools)
        self.seats = SeatLedger()
        self.sessions: list[str] = []
        """Session log: a line for each entry, by program."""
        self.executions: list[ToolExecution] = []

    def executed(self) -> Counter[CallId]:
        """Return how often each call ran."""
        return Counter(execution.call_id for execution in self.executions)

    def run(self, order: ToolRequest, worker: str, now: float) -> ToolResult | Refused:
        """Run a tool once; a call sent twice runs twice, as at a real service."""
        if self._tools is not None and order.tool not in self._tools:
            return not_run(Reason.NOT_FOUND, f"no tool {order.tool} here")
        self.executions.append(
            ToolExecution(order.call_id, order.program_id, order.tool, order.arguments, worker, now)
        )
        arguments = order.arguments if isinstance(order.arguments, dict) else {}
        return ToolResult(self._run(order, arguments))

    def _run(self, order: ToolRequest, arguments: dict[str, Any]) -> str:
        if order.tool == "hold-seats":
            return self.seats.hold(order.program_id, arguments)
        if order.tool == "confirm-seats":
            return self.seats.confirm(order.program_id, arguments)
        if order.tool == "release-seats":
            return self.seats.release(order.program_id, arguments)
        if order.tool == "session-log":
            self.sessions.append(f"{order.program_id}: {arguments.get('entry', '')}")
            return f"logged entry {len(self.sessions)}"
        return f"{order.tool}: {json.dumps(order.arguments, sort_keys=True)}"


def _seats(arguments: Mapping[str, Any]) -> list[str]:
    train = str(arguments.get("train", ""))
    seats = arguments.get("seats")
    names = seats if isinstance(seats, list) else []
    return [f"{train}/{seat}" for seat in names]
