"""The HTTP adapters, tested against the emulator over real sockets with injected faults."""

import asyncio
from contextlib import aclosing
from dataclasses import replace
from types import SimpleNamespace

import pytest
from aiohttp.test_utils import TestServer

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.backends.ports import (
    CacheEventPage,
    Completed,
    GenerateFinished,
    GenerateRequest,
    LoadReport,
    Message,
    ModelOrder,
    TokenChunk,
    ToolRequest,
    ToolResult,
)
from foxwinch.backends.release_batch import ReleaseBatcher
from foxwinch.backends.tools_http import HttpTools
from foxwinch.clock import SystemClock
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_answers import history_marker
from foxwinch.emulator.faults import EngineFaults, ServiceFaults, ToolFaults
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import EmulatedEngine, EmulatedToolWorker, EmulatorSettings
from foxwinch.http_client import new_session
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.ports import HistoryLost, RowCondition, RowKey, RowWrite, StoredRow
from foxwinch.storage.machines_http import HttpMachineList
from foxwinch.storage.rate_limit import RateLimiter
from foxwinch.storage.records_http import HttpRecordStore

TEXT = "From Carmarthen to Wrecsam with two children. " * 40
REQUEST = GenerateRequest("c1", "p/1", "m", (Message("user", TEXT),), 4, 0, 1)
ROW = RowKey("t", "p", "a/b")
VALUE = b"\x00\xff"
TOOL_CALL = ToolRequest("c1", "family", "hold-seats", {"train": "T1", "seats": ["1"]}, 5.0)


@pytest.fixture
async def harness():
    settings = EmulatorSettings(
        engines=(EmulatedEngine(name="w", models=("m",)),),
        tool_workers=(EmulatedToolWorker(name="b"),),
        pace="instant",
    )
    clock = SystemClock()
    emulated_services = EmulatedServices(settings, clock)
    server = TestServer(build_application(emulated_services))
    await server.start_server()
    emulated_services.list_workers(f"127.0.0.1:{server.port}")
    base = str(server.make_url("")).rstrip("/")
    limiter = RateLimiter(clock, 1_000.0, 100.0)
    async with new_session() as session, new_session(keep_alive=False) as once:
        yield SimpleNamespace(
            emulated_services=emulated_services,
            clock=clock,
            session=session,
            base=base,
            engine=HttpEngine(session, {"w": f"{base}/workers/w"}.get),
            tools=HttpTools(once, lambda tool: [f"{base}/tools/b"]),
            records=HttpRecordStore(session, f"{base}/store", limiter),
            machines=HttpMachineList(session, f"{base}/platform"),
        )
    emulated_services.stop()
    await server.close()


async def generate(harness, order=REQUEST):
    return [event async for event in harness.engine.generate("w", order)]


async def test_engine_streams_marked_answers_and_resumes(harness):
    whole = await generate(harness)
    text = "".join(e.text for e in whole[:-1])
    assert text.startswith(history_marker("p/1", REQUEST.messages))
    assert whole[-1].completion_tokens == 4
    assert await generate(harness, replace(REQUEST, resume_offset=2)) == whole[2:]
    assert harness.emulated_services.engines["w"].executions == {"c1": 1}


async def test_engine_operations_other_than_generate(harness):
    assert await harness.engine.cancel("w", "c/1") == Completed()
    assert await harness.engine.release("w", "p/1") == Completed()
    assert harness.emulated_services.engines["w"].released == {"p/1": 1}
    assert (await harness.engine.load("w")) == LoadReport(0, 0, 0, 1024, ("m",), False)
    assert (await harness.engine.export_cache("w", "p/1")).reason is Reason.NOT_FOUND
    assert await harness.engine.import_cache("w", "p/1", b'{"blocks": [1, 2]}') == Completed()
    assert await harness.engine.export_cache("w", "p/1") == b'{"blocks": [1, 2]}'
    assert (
        await harness.engine.apply_order("w", ModelOrder("t", 3, "set_role", "m", "x"))
        == Completed()
    )
    fenced = await harness.engine.apply_order("w", ModelOrder("t2", 2, "set_role", "m", "y"))
    assert (fenced.reason, fenced.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    [fenced] = await generate(harness)
    assert (fenced.reason, fenced.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    assert harness.emulated_services.engines["w"].role == "x"


async def test_concurrent_releases_are_batched_and_share_the_outcome(harness):
    engine = harness.emulated_services.engines["w"]
    names = [f"p/{number}" for number in range(600)]
    engine.gate.faults = EngineFaults(lose_answers=1)
    first = await asyncio.gather(*(harness.engine.release("w", name) for name in names[:3]))
    assert [outcome.run_state for outcome in first] == [RunState.UNKNOWN] * 3
    second = await asyncio.gather(*(harness.engine.release("w", name) for name in names))
    assert second == [Completed()] * 600
    assert engine.released == {name: 2 if name in names[:3] else 1 for name in names}


async def test_cancelling_the_sender_of_a_batch_leaves_no_other_caller_waiting():
    sent = []
    sending = asyncio.Event()

    async def send(worker, programs):
        sent.append(list(programs))
        sending.set()
        if len(sent) == 1:
            await asyncio.Event().wait()
        return Completed()

    batches = ReleaseBatcher(send)
    tasks = [asyncio.create_task(batches.release("w", name)) for name in ("a", "b", "c")]
    await sending.wait()
    tasks[1].cancel()
    tasks[0].cancel()
    assert (await tasks[2]).run_state is RunState.UNKNOWN
    assert await batches.release("w", "c") == Completed()
    assert sent == [["a", "b", "c"], ["c"]]


@pytest.mark.parametrize(
    ("faults", "reason", "run_state"),
    [
        (EngineFaults(down=True), Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN),
        (EngineFaults(leaving=True), Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN),
        (EngineFaults(lose_answers=1), Reason.BACKEND_FAILED, RunState.UNKNOWN),
        (EngineFaults(malformed_probability=1), Reason.BACKEND_FAILED, RunState.UNKNOWN),
        (EngineFaults(cut_stream_probability=1), Reason.BACKEND_FAILED, RunState.UNKNOWN),
    ],
)
async def test_engine_faults_are_returned_as_refusals(harness, faults, reason, run_state):
    harness.emulated_services.engines["w"].gate.faults = faults
    last = (await generate(harness))[-1]
    assert (last.reason, last.run_state) == (reason, run_state)


async def test_unreachable_engine_did_not_run(harness):
    engine = HttpEngine(harness.session, {"w": "http://127.0.0.1:1"}.get)
    [refused] = [event async for event in engine.generate("w", REQUEST)]
    assert (refused.reason, refused.run_state) == (Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN)


async def test_missing_cache_events_are_reported_as_a_gap(harness):
    engine = harness.emulated_services.engines["w"]
    await harness.engine.import_cache("w", "p", b'{"blocks": [1]}')
    await harness.engine.import_cache("w", "p", b'{"blocks": [1, 2]}')
    snapshot = await harness.engine.cache_events("w", 0)
    assert not snapshot.gap
    assert snapshot.events[-1].block_hashes == (1, 2)
    engine.cache_events = lambda after: CacheEventPage((), after + 3, False)
    assert (await harness.engine.cache_events("w", 5)).gap


async def put(harness, version=0):
    return await harness.records.transact(
        (RowCondition(ROW, version),), (RowWrite(ROW, VALUE),), 5.0
    )


async def test_store_conditions_reads_and_changes(harness):
    records = harness.records
    stored = StoredRow(ROW, VALUE, 1)
    assert (await put(harness)).version == 1
    assert (await put(harness)).rows == (stored,)
    assert (await records.read(RowKey("t", "p", ""), "b", 5.0)).rows == (stored,)
    assert (await records.read_table("t", 5.0)).rows == ()
    harness.emulated_services.store.put("list", "w", b"1")
    assert [row.row.key for row in (await records.read_table("list", 5.0)).rows] == ["w"]
    heard = await records.changes("list", 1, 5.0)
    assert [(row.row.key, row.version) for row in heard.rows] == [("w", 2)]
    harness.emulated_services.store.forget_history()
    assert await records.changes("list", 1, 5.0) == HistoryLost()
    removed = await records.transact((RowCondition(ROW, 1),), (RowWrite(ROW, None),), 5.0)
    assert removed.version == 3
    assert (await put(harness, 1)).rows == (StoredRow(ROW, None, 0),)


@pytest.mark.parametrize(
    "faults", [ServiceFaults(lose_answers=1), ServiceFaults(malformed_probability=1)]
)
async def test_lost_response_of_the_store_is_unknown_and_resolved_by_a_retry(harness, faults):
    gate = harness.emulated_services.store_gate
    gate.faults = faults
    lost = await put(harness)
    assert (lost.reason, lost.run_state) == (Reason.STORE_UNAVAILABLE, RunState.UNKNOWN)
    gate.faults = ServiceFaults()
    assert (await put(harness)).rows == (StoredRow(ROW, VALUE, 1),)
    assert harness.emulated_services.store.calls.commits == 1


async def test_rate_limit_of_the_store_is_respected(harness):
    gate = harness.emulated_services.store_gate
    gate.faults = ServiceFaults(requests_per_second=0.1, burst=1)
    assert (await harness.records.read(ROW, "b", 5.0)).rows == ()
    limited = await harness.records.read(ROW, "b", 5.0)
    assert (limited.reason, limited.run_state) == (Reason.RATE_LIMITED, RunState.NOT_RUN)
    assert 9.0 < limited.retry_after_seconds <= 10.0
    before = gate.requests
    held = await harness.records.read(ROW, "b", 5.0)
    assert held.reason is Reason.RATE_LIMITED
    assert held.retry_after_seconds > 2.0
    assert gate.requests == before


async def test_machine_list_is_read(harness):
    assert [machine.name for machine in await harness.machines.machines()] == ["w", "b"]
    harness.emulated_services.machines_gate.faults = ServiceFaults(malformed_probability=1)
    assert (await harness.machines.machines()).run_state is RunState.UNKNOWN


@pytest.mark.parametrize(
    ("faults", "timeout", "reason", "run_state", "runs"),
    [
        (ToolFaults(down=True), 5, Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN, 0),
        (ToolFaults(requests_per_second=1e-9, burst=1), 5, Reason.RATE_LIMITED, None, 0),
        (ToolFaults(lose_answers=1), 5, Reason.BACKEND_UNAVAILABLE, RunState.UNKNOWN, 1),
        (ToolFaults(malformed_probability=1), 5, Reason.BACKEND_UNAVAILABLE, RunState.UNKNOWN, 1),
        (ToolFaults(hung_tools=("hold-seats",)), 0.3, Reason.TOOL_TIMEOUT, RunState.UNKNOWN, 1),
    ],
)
async def test_tool_failures_state_whether_the_call_ran(
    harness, faults, timeout, reason, run_state, runs
):
    harness.emulated_services.tools_gate.faults = faults
    if run_state is None:
        await harness.emulated_services.tools_gate.enter()
        run_state = RunState.NOT_RUN
    refused = await harness.tools.call(replace(TOOL_CALL, timeout_seconds=timeout))
    assert (refused.reason, refused.run_state) == (reason, run_state)
    assert len(harness.emulated_services.tools.executions) == runs


async def test_tool_responses_and_unreachable_tools(harness):
    assert await harness.tools.call(TOOL_CALL) == ToolResult("held: T1/1")
    no_workers = HttpTools(harness.session, lambda tool: [])
    assert (await no_workers.call(TOOL_CALL)).run_state is RunState.NOT_RUN
    unreachable = HttpTools(harness.session, lambda tool: ["http://127.0.0.1:1"])
    assert (await unreachable.call(TOOL_CALL)).run_state is RunState.NOT_RUN


class RawServer:
    """Sends fixed bytes for every request, closes the connection and counts the requests."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = 0

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        self.requests += 1
        writer.write(self.answer)
        writer.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
        b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
    ],
)
async def test_tool_call_is_sent_once_whatever_the_response(harness, answer):
    raw_server = RawServer(answer)
    server = await asyncio.start_server(raw_server.serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server:
        refused = await HttpTools(harness.session, lambda tool: [url]).call(TOOL_CALL)
        assert refused.run_state is RunState.UNKNOWN
        assert raw_server.requests == 1
        engine = HttpEngine(harness.session, {"w": url}.get)
        [refused] = [event async for event in engine.generate("w", REQUEST)]
        assert isinstance(refused, Refused)
        assert refused.run_state is RunState.UNKNOWN


async def test_completely_read_streams_reuse_one_connection(harness):
    opened = []
    harness.emulated_services.engines["w"].gate.faults = EngineFaults()
    connector = harness.session.connector
    create = connector._create_connection

    async def counting_create(*arguments, **keywords):
        opened.append(1)
        return await create(*arguments, **keywords)

    connector._create_connection = counting_create
    for _ in range(3):
        await generate(harness)
    assert len(opened) == 1
    async with aclosing(harness.engine.generate("w", REQUEST)) as stream:
        assert isinstance(await anext(stream), TokenChunk)


async def test_a_stream_closed_at_its_last_event_keeps_its_connection(harness):
    end_seen = asyncio.Event()
    connections = []
    usage = b'data: {"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 0}}\n\n'
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def serve(reader, writer):
        connections.append(writer)
        while await reader.read(65_536):
            writer.write(head + f"{len(usage):x}\r\n".encode() + usage + b"\r\n")
            await end_seen.wait()
            writer.write(b"0\r\n\r\n")
            end_seen.clear()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    engine = HttpEngine(harness.session, {"w": url}.get)
    async with server:
        for _ in range(3):
            async with aclosing(engine.generate("w", REQUEST)) as stream:
                assert isinstance(await anext(stream), GenerateFinished)
                end_seen.set()
        assert len(connections) == 1
        for writer in connections:
            writer.close()


async def test_faults_and_state_over_http(harness):
    async with harness.session.post(
        f"{harness.base}/faults", json={"tools": {"lose_answers": 1}}
    ) as response:
        assert (await response.json())["tools"]["lose_answers"] == 1
    assert (await harness.tools.call(TOOL_CALL)).run_state is RunState.UNKNOWN
    async with harness.session.get(f"{harness.base}/state") as response:
        state = await response.json()
    assert [run["call"] for run in state["tool_executions"]] == ["c1"]
    assert state["seats"]["holders"] == {"T1/1": "family"}
    async with harness.session.post(f"{harness.base}/faults", json={"tols": {}}) as response:
        assert response.status == 422
