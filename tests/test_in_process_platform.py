"""Each fault of the in-process platform and tools shows as the ports promise."""

import pytest

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.emulator.faults import ServiceFaults, ToolFaults
from foxwinch.emulator.in_process import (
    InProcessMachines,
    InProcessRecords,
    InProcessTools,
)
from foxwinch.emulator.machines import MachineModel
from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.emulator.tools import ToolModel
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.ports import RowCondition, RowKey, RowWrite, StoredRow
from foxwinch.storage.ports import Machine
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]


KEY = RowKey("t", "p", "a")


def records_of(clock=None, faults=None):
    clock = clock or VirtualClock()
    return InProcessRecords(RecordStoreModel(clock), clock, faults)


async def put(records, value=b"1", version=0, row=KEY):
    return await records.transact((RowCondition(row, version),), (RowWrite(row, value),), 5.0)


async def test_conditions_guard_writes():
    records = records_of()
    assert (await put(records)).version == 1
    conflict = await put(records, b"2")
    assert conflict.rows == (StoredRow(KEY, b"1", 1),)
    read = await records.read(KEY, "b", 5.0)
    assert read.rows == (StoredRow(KEY, b"1", 1),)


async def test_a_read_returns_a_range_of_a_partition_in_order():
    records = records_of()
    for number in (3, 1, 4, 0, 2):
        await put(records, row=RowKey("t", "p", f"p/{number}"))
    await put(records, row=RowKey("t", "p", "q"))
    await put(records, row=RowKey("t", "other", "p/1"))
    read = await records.read(RowKey("t", "p", "p/1"), "p/4", 5.0)
    assert [row.row.key for row in read.rows] == ["p/1", "p/2", "p/3"]


async def test_a_lost_answer_is_told_as_unknown_and_found_by_reading_back():
    records = records_of(faults=ServiceFaults(lose_answers=1))
    first = await put(records)
    assert isinstance(first, Refused)
    assert first.run_state is RunState.UNKNOWN
    assert (await put(records)).rows == (StoredRow(KEY, b"1", 1),)
    assert records.model.calls.commits == 1


async def test_doubled_transaction_takes_effect_once():
    records = records_of(faults=ServiceFaults(duplicate_probability=1.0))
    await put(records)
    assert records.model.calls.commits == 1


async def test_effect_may_come_after_the_client_gave_up():
    clock = VirtualClock()
    records = records_of(clock, ServiceFaults(delay_seconds=60))
    refused = await put(records)
    assert refused.run_state is RunState.UNKNOWN
    assert records.model.value(KEY) is None
    await clock.sleep(60)
    assert records.model.value(KEY) == b"1"


async def test_down_service_refuses_without_effect_and_comes_back():
    records = records_of(faults=ServiceFaults(down=True))
    refused = await put(records)
    assert (refused.reason, refused.run_state) == (Reason.STORE_UNAVAILABLE, RunState.NOT_RUN)
    records.gate.faults = ServiceFaults()
    assert (await put(records)).version == 1


async def test_silent_service_never_acts():
    records = records_of(faults=ServiceFaults(silent=True))
    assert (await put(records)).run_state is RunState.UNKNOWN
    await records.service.stop()
    assert records.model.calls.commits == 0


async def test_rate_limit_tells_when_to_come_back():
    clock = VirtualClock()
    faults = ServiceFaults(requests_per_second=2.0, burst=1.0)
    records = records_of(clock, faults)
    assert (await records.read(KEY, "b", 5.0)).rows == ()
    refused = await records.read(KEY, "b", 5.0)
    assert refused.reason is Reason.RATE_LIMITED
    await clock.sleep(refused.retry_after_seconds)
    assert (await records.read(KEY, "b", 5.0)).rows == ()


async def test_machine_list_lags():
    clock = VirtualClock()
    model = MachineModel((Machine("m", "worker", "127.0.0.1:1", "z", "r", False),))
    machines = InProcessMachines(model, clock, ServiceFaults(lag_seconds=10))
    model.mark_leaving("m", clock.monotonic())
    assert not (await machines.machines())[0].leaving
    await clock.sleep(10)
    assert (await machines.machines())[0].leaving


def hold(call_id, tool="hold-seats"):
    return ToolRequest(call_id, "family", tool, {"train": "T1", "seats": ["1"]}, 2.0)


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
