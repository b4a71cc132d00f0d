"""Each fault of the in-process platform and tools shows as the ports promise."""

import pytest

from foxwinch.backends.ports import ToolOrder, ToolResult
from foxwinch.emulator.faults import ServiceFaults, ToolFaults
from foxwinch.emulator.in_process import (
    InProcessMachines,
    InProcessObjects,
    InProcessTable,
    InProcessTools,
)
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.objects import ObjectModel
from foxwinch.emulator.table import TableModel
from foxwinch.emulator.tools import ToolModel
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.storage.ports import (
    Committed,
    Condition,
    ConditionFailed,
    Machine,
    Row,
    Stored,
    Transaction,
    Write,
)
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]


def put(key, value, version, token):
    return Transaction(token, (Condition(key, version),), (Write(key, value),))


async def test_conditions_guard_writes():
    table = InProcessTable(TableModel(), VirtualClock())
    assert await table.transact(put("a", b"1", 0, "t1")) == Committed((1,))
    assert await table.transact(put("a", b"2", 0, "t2")) == ConditionFailed("a", 1)
    assert await table.read("a") == Row("a", b"1", 1)


async def test_scan_goes_on_from_the_next_key():
    table = InProcessTable(TableModel(), VirtualClock())
    for number in range(5):
        await table.transact(put(f"p/{number}", b"", 0, f"t{number}"))
    await table.transact(put("q", b"", 0, "tq"))
    first = await table.scan("p/", limit=3)
    rest = await table.scan("p/", start=first.next_key, limit=3)
    assert [row.key for row in first.rows + rest.rows] == [f"p/{n}" for n in range(5)]
    assert rest.next_key is None


async def test_lost_answer_is_settled_by_the_same_token():
    table = InProcessTable(TableModel(), VirtualClock(), ServiceFaults(lose_answers=1))
    first = await table.transact(put("a", b"1", 0, "t"))
    assert isinstance(first, Refused)
    assert first.run_state is RunState.UNKNOWN
    assert await table.transact(put("a", b"1", 0, "t")) == Committed((1,))
    assert table.model.commits == 1


async def test_doubled_transaction_takes_effect_once():
    faults = ServiceFaults(duplicate_probability=1.0)
    table = InProcessTable(TableModel(), VirtualClock(), faults)
    assert await table.transact(put("a", b"1", 0, "t")) == Committed((1,))


async def test_effect_may_come_after_the_client_gave_up():
    clock = VirtualClock()
    table = InProcessTable(TableModel(), clock, ServiceFaults(delay_seconds=60))
    refused = await table.transact(put("a", b"1", 0, "t"))
    assert refused.run_state is RunState.UNKNOWN
    assert table.model.read("a") is None
    await clock.sleep(60)
    assert table.model.read("a") == Row("a", b"1", 1)


async def test_down_service_refuses_without_effect_and_comes_back():
    objects = InProcessObjects(ObjectModel(), VirtualClock(), ServiceFaults(down=True))
    refused = await objects.put("k", b"data")
    assert (refused.reason, refused.run_state) == (Reason.STORE_UNAVAILABLE, RunState.NOT_RUN)
    objects.gate.faults = ServiceFaults()
    assert await objects.get("k") is None
    assert await objects.put("k", b"data") == Stored()
    assert (await objects.put("k", b"other")).reason is Reason.CONFLICT


async def test_silent_service_never_acts():
    table = InProcessTable(TableModel(), VirtualClock(), ServiceFaults(silent=True))
    assert (await table.transact(put("a", b"1", 0, "t"))).run_state is RunState.UNKNOWN
    await table.service.stop()
    assert table.model.commits == 0


async def test_rate_limit_tells_when_to_come_back():
    clock = VirtualClock()
    faults = ServiceFaults(requests_per_second=2.0, burst=1.0)
    table = InProcessTable(TableModel(), clock, faults)
    assert await table.read("a") is None
    refused = await table.read("a")
    assert refused.reason is Reason.RATE_LIMITED
    await clock.sleep(refused.retry_after_seconds)
    assert await table.read("a") is None


async def test_machine_list_lags():
    clock = VirtualClock()
    model = MachineModel((Machine("m", "worker", "127.0.0.1:1", "z", "r", False),))
    machines = InProcessMachines(model, clock, ServiceFaults(lag_seconds=10))
    model.mark_leaving("m", clock.monotonic())
    assert not (await machines.machines())[0].leaving
    await clock.sleep(10)
    assert (await machines.machines())[0].leaving


def hold(call_id, tool="hold-seats"):
    return ToolOrder(call_id, "family", tool, {"train": "T1", "seats": ["1"]}, 2.0)


async def test_hung_tool_ran_but_the_caller_is_told_unknown():
    faults = ToolFaults(hung_tools=("hold-seats",))
    tools = InProcessTools(ToolModel(), VirtualClock(), faults)
    refused = await tools.call(hold("c1"))
    assert (refused.reason, refused.run_state) == (Reason.TOOL_TIMEOUT, RunState.UNKNOWN)
    assert tools.model.executed() == {"c1": 1}


async def test_ledger_tells_a_double_release():
    tools = InProcessTools(ToolModel(), VirtualClock())
    assert await tools.call(hold("c1")) == ToolResult("held: T1/1")
    await tools.call(hold("c2", "release-seats"))
    await tools.call(hold("c2", "release-seats"))
    assert tools.model.executed() == {"c1": 1, "c2": 2}
    assert len(tools.model.seats.violations) == 1
