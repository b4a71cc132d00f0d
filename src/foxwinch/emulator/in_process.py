"""Ports of the platform and the tools over in-memory models, without sockets.

As at a real service, a request runs to completion even if the client has timed out, so an effect
may take place after the client received the outcome `unknown`.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.clock import Clock
from foxwinch.emulator.faults import (
    HANG_SECONDS,
    FaultGate,
    GateDecision,
    GateVerdict,
    ResponseOutcome,
    ServiceFaults,
    ToolFaults,
)
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.emulator.tools import ToolModel
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.records.ports import (
    Conflict,
    HistoryLost,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    Written,
)
from foxwinch.storage.ports import Machine

AFTER_ALL_KEYS = "\U0010ffff"
REQUEST_TIMEOUT_SECONDS = 5.0
"""Request timeout of a client, the same as in the HTTP adapters."""
Result = TypeVar("Result")


class InProcessService:
    """Requests to one emulated service; `gate.faults` may be replaced at any time."""

    def __init__(self, name: str, unavailable: Reason, gate: FaultGate, clock: Clock) -> None:
        """Refuse with `unavailable` while the service is down."""
        self.name = name
        self.gate = gate
        self._unavailable = unavailable
        self._clock = clock
        self._requests: set[asyncio.Task[object]] = set()

    async def request(
        self,
        effect: Callable[[], Result],
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
        timeout_reason: Reason | None = None,
        hangs: bool = False,
    ) -> Result | Refused:
        """Send a request; after a timeout the outcome is unknown with `timeout_reason`."""
        task = asyncio.get_running_loop().create_task(self._serve(effect, hangs))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout_seconds)
        if not done:
            return outcome_unknown(
                timeout_reason or self._unavailable,
                f"{self.name} did not respond within {timeout_seconds} s",
            )
        return task.result()

    async def stop(self) -> None:
        """Cancel the requests in flight; effects that have not happened yet never do."""
        tasks = list(self._requests)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def refusal(self, decision: GateDecision) -> Refused:
        """Return the refusal that a client gets from a request that the gate refused."""
        if decision.verdict is GateVerdict.LIMITED:
            detail = f"{self.name} limits its rate"
            return not_run(Reason.RATE_LIMITED, detail, decision.retry_after_seconds)
        return not_run(self._unavailable, f"{self.name} is down", decision.retry_after_seconds)

    async def _serve(self, effect: Callable[[], Result], hangs: bool) -> Result | Refused:
        decision = await self.gate.enter()
        if decision.verdict is not GateVerdict.PASS:
            return self.refusal(decision)
        result = self.gate.apply(effect)
        if hangs:
            await self._clock.sleep(HANG_SECONDS)
        if await self.gate.leave() is ResponseOutcome.DELIVERED:
            return result
        return outcome_unknown(self._unavailable, f"the response of {self.name} was lost")


class InProcessRecords:
    """`RecordStore` over a model that several clients may share."""

    def __init__(
        self, model: RecordStoreModel, clock: Clock, faults: ServiceFaults | None = None
    ) -> None:
        """Use `model`; `faults` apply to the requests of this client only."""
        self.model = model
        self.gate = FaultGate(clock, faults)
        self.service = InProcessService("the store", Reason.STORE_UNAVAILABLE, self.gate, clock)

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """See the port."""
        return await self.service.request(
            lambda: self.model.apply(conditions, writes), timeout_seconds
        )

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """See the port."""
        return await self.service.request(
            lambda: self.model.rows_between(first, end_key), timeout_seconds
        )

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """See the port."""
        return await self.read(RowKey(table, "", ""), AFTER_ALL_KEYS, timeout_seconds)

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """See the port."""
        decision = await self.gate.enter()
        if decision.verdict is not GateVerdict.PASS:
            return self.service.refusal(decision)
        return await self.model.changes(table, after_version, wait_seconds)


class InProcessMachines:
    """`MachinePort` over a model that several clients may share; the faults set the list's lag."""

    def __init__(
        self, model: MachineModel, clock: Clock, faults: ServiceFaults | None = None
    ) -> None:
        """Use `model`; `faults` apply to the requests of this client only."""
        self.model = model
        self.gate = FaultGate(clock, faults)
        self._clock = clock
        self.service = InProcessService(
            "the machine list", Reason.STORE_UNAVAILABLE, self.gate, clock
        )

    async def machines(self) -> tuple[Machine, ...] | Refused:
        """See the port."""
        return await self.service.request(self._listed)

    def _listed(self) -> tuple[Machine, ...]:
        return self.model.listed(self._clock.monotonic(), self.gate.faults.lag_seconds)


class InProcessTools:
    """`ToolPort` over a model that records every execution."""

    def __init__(self, model: ToolModel, clock: Clock, faults: ToolFaults | None = None) -> None:
        """Use `model`; `faults` are those of the tool services."""
        self.model = model
        self.gate = FaultGate(clock, faults or ToolFaults())
        self._clock = clock
        self.service = InProcessService(
            "the tool service", Reason.BACKEND_UNAVAILABLE, self.gate, clock
        )

    async def call(self, request: ToolRequest) -> ToolResult | Refused:
        """See the port."""
        faults = self.gate.faults
        hangs = isinstance(faults, ToolFaults) and request.tool in faults.hung_tools
        return await self.service.request(
            lambda: self.model.run(request, "in-process", self._clock.monotonic()),
            request.timeout_seconds,
            Reason.TOOL_TIMEOUT,
            hangs,
        )
