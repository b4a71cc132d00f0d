"""In-memory model of tool services that records every execution and keeps a ledger of seats."""

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
    """One run of a tool, as recorded by the tool service."""

    call_id: CallId
    program_id: ProgramId
    tool: ToolName
    arguments: JsonValue
    worker: str
    at_seconds: float


class SeatLedger:
    """Holders of train seats, and the violations that a repeated tool run causes."""

    def __init__(self) -> None:
        """Start with all seats free."""
        self.holders: dict[str, str] = {}
        """Program that holds or has confirmed a seat, by `train/seat`."""
        self.confirmed: set[str] = set()
        self.violations: list[str] = []
        """Attempts to confirm or release seats that the program did not hold."""

    def hold(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Hold all requested seats, or none if one of them is held by another program."""
        seats = _seats(arguments)
        unavailable = [seat for seat in seats if self.holders.get(seat, program) != program]
        if unavailable:
            return f"taken: {', '.join(unavailable)}"
        self.holders.update(dict.fromkeys(seats, program))
        return f"held: {', '.join(seats)}"

    def confirm(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Confirm seats that the program holds."""
        return self._change_held(program, arguments, "confirmed", self.confirmed.add)

    def release(self, program: str, arguments: Mapping[str, Any]) -> str:
        """Free seats that the program holds."""
        return self._change_held(program, arguments, "released", self._free)

    def _free(self, seat: str) -> None:
        del self.holders[seat]
        self.confirmed.discard(seat)

    def _change_held(
        self,
        program: str,
        arguments: Mapping[str, Any],
        done: str,
        change: Callable[[str], None],
    ) -> str:
        seats = _seats(arguments)
        not_held = [seat for seat in seats if self.holders.get(seat) != program]
        if not_held:
            self.violations.append(f"{done} {', '.join(not_held)} not held by {program}")
            return f"not held: {', '.join(not_held)}"
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
        """Session log, with one line of program and text for each entry."""
        self.executions: list[ToolExecution] = []

    def executed(self) -> Counter[CallId]:
        """Return the number of executions of each call."""
        return Counter(execution.call_id for execution in self.executions)

    def run(self, request: ToolRequest, worker: str, now: float) -> ToolResult | Refused:
        """Run a tool; a call that is sent twice runs twice, as at a real service."""
        if self._tools is not None and request.tool not in self._tools:
            return not_run(Reason.NOT_FOUND, f"unknown tool {request.tool}")
        self.executions.append(
            ToolExecution(
                request.call_id, request.program_id, request.tool, request.arguments, worker, now
            )
        )
        arguments = request.arguments if isinstance(request.arguments, dict) else {}
        return ToolResult(self._run(request, arguments))

    def _run(self, request: ToolRequest, arguments: dict[str, Any]) -> str:
        if request.tool == "hold-seats":
            return self.seats.hold(request.program_id, arguments)
        if request.tool == "confirm-seats":
            return self.seats.confirm(request.program_id, arguments)
        if request.tool == "release-seats":
            return self.seats.release(request.program_id, arguments)
        if request.tool == "session-log":
            self.sessions.append(f"{request.program_id}: {arguments.get('entry', '')}")
            return f"logged entry {len(self.sessions)}"
        return f"{request.tool}: {json.dumps(request.arguments, sort_keys=True)}"


def _seats(arguments: Mapping[str, Any]) -> list[str]:
    train = str(arguments.get("train", ""))
    seats = arguments.get("seats")
    names = seats if isinstance(seats, list) else []
    return [f"{train}/{seat}" for seat in names]
