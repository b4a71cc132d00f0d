"""The HTTP adapters against the stand-ins over real sockets: each fault is a truthful value."""

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
from foxwinch.backends.release_batch import ReleaseBatches
from foxwinch.backends.tools_http import HttpTools
from foxwinch.clock import SystemClock
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_answers import history_marker
from foxwinch.emulator.faults import EngineFaults, ServiceFaults, ToolFaults
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import EmulatedEngine, EmulatedToolWorker, EmulatorSettings
from foxwinch.http_exchange import new_session
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.ports import HistoryLost, RowCondition, RowKey, RowWrite, StoredRow
from foxwinch.storage.machines_http import HttpMachines
from foxwinch.storage.rate_limit import RateLimiter
from foxwinch.storage.records_http import HttpRecords

TEXT = "From Carmarthen to Wrecsam with two children. " * 40
ORDER = GenerateRequest("c1", "p/1", "m", (Message("user", TEXT),), 4, 0, 1)
ROW = RowKey("t", "p", "a/b")
VALUE = b"\x00\xff"
HOLD = ToolRequest("c1", "family", "hold-seats", {"train": "T1", "seats": ["1"]}, 5.0)


@pytest.fixture
async def world():
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
    async with new_session() as session, new_session(keep_connections=False) as once:
        yield SimpleNamespace(
            emulated_services=emulated_services,
            clock=clock,
            session=session,
            base=base,
            engine=HttpEngine(session, {"w": f"{base}/workers/w"}.get),
            tools=HttpTools(once, lambda tool: [f"{base}/tools/b"]),
            records=HttpRecords(session, f"{base}/store", limiter),
            machines=HttpMachines(session, f"{base}/platform"),
        )
    emulated_services.stop()
    await server.close()


async def generate(world, order=ORDER):
    return [event async for event in world.engine.generate("w", order)]


async def test_engine_streams_marked_answers_and_resumes(world):
    whole = await generate(world)
    text = "".join(e.text for e in whole[:-1])
    assert text.startswith(history_marker("p/1", ORDER.messages))
    assert whole[-1].completion_tokens == 4
    assert await generate(world, replace(ORDER, resume_offset=2)) == whole[2:]
    assert world.emulated_services.engines["w"].executions == {"c1": 1}


async def test_rest_of_the_engine_port(world):
    assert await world.engine.cancel("w", "c/1") == Completed()
    assert await world.engine.release("w", "p/1") == Completed()
    assert world.emulated_services.engines["w"].released == {"p/1": 1}
    assert (await world.engine.load("w")) == LoadReport(0, 0, 0, 1024, ("m",), False)
    assert (await world.engine.export_cache("w", "p/1")).reason is Reason.NOT_FOUND
    assert await world.engine.import_cache("w", "p/1", b'{"blocks": [1, 2]}') == Completed()
    assert await world.engine.export_cache("w", "p/1") == b'{"blocks": [1, 2]}'
    assert (
        await world.engine.apply_order("w", ModelOrder("t", 3, "set_role", "m", "x")) == Completed()
    )
    fenced = await world.engine.apply_order("w", ModelOrder("t2", 2, "set_role", "m", "y"))
    assert (fenced.reason, fenced.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    [fenced] = await generate(world)
    assert (fenced.reason, fenced.run_state) == (Reason.FENCED, RunState.NOT_RUN)
    assert world.emulated_services.engines["w"].role == "x"


async def test_releases_of_one_turn_go_in_one_request_and_share_its_outcome(world):
    engine = world.emulated_services.engines["w"]
    names = [f"p/{number}" for number in range(600)]
    engine.gate.faults = EngineFaults(lose_answers=1)
    first = await asyncio.gather(*(world.engine.release("w", name) for name in names[:3]))
    assert [outcome.run_state for outcome in first] == [RunState.UNKNOWN] * 3
    again = await asyncio.gather(*(world.engine.release("w", name) for name in names))
    assert again == [Completed()] * 600
    assert engine.released == {name: 2 if name in names[:3] else 1 for name in names}


async def test_who_sends_releases_and_is_cut_off_leaves_no_one_waiting():
    sent = []
    sending = asyncio.Event()

    async def send(worker, programs):
        sent.append(list(programs))
        sending.set()
        if len(sent) == 1:
            await asyncio.Event().wait()
        return Completed()

    batches = ReleaseBatches(send)
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
async def test_engine_faults_are_values(world, faults, reason, run_state):
    world.emulated_services.engines["w"].gate.faults = faults
    last = (await generate(world))[-1]
    assert (last.reason, last.run_state) == (reason, run_state)


async def test_unreachable_engine_did_not_run(world):
    engine = HttpEngine(world.session, {"w": "http://127.0.0.1:1"}.get)
    [refused] = [event async for event in engine.generate("w", ORDER)]
    assert (refused.reason, refused.run_state) == (Reason.BACKEND_UNAVAILABLE, RunState.NOT_RUN)


async def test_gapped_cache_events_ask_for_a_resync(world):
    engine = world.emulated_services.engines["w"]
    await world.engine.import_cache("w", "p", b'{"blocks": [1]}')
    await world.engine.import_cache("w", "p", b'{"blocks": [1, 2]}')
    snapshot = await world.engine.cache_events("w", 0)
    assert not snapshot.gap
    assert snapshot.events[-1].block_hashes == (1, 2)
    engine.cache_events = lambda after: CacheEventPage((), after + 3, False)
    assert (await world.engine.cache_events("w", 5)).gap


async def put(world, version=0):
    return await world.records.transact((RowCondition(ROW, version),), (RowWrite(ROW, VALUE),), 5.0)


async def test_store_conditions_reads_and_changes(world):
    records = world.records
    stored = StoredRow(ROW, VALUE, 1)
    assert (await put(world)).version == 1
    assert (await put(world)).rows == (stored,)
    assert (await records.read(RowKey("t", "p", ""), "b", 5.0)).rows == (stored,)
    assert (await records.read_table("t", 5.0)).rows == ()
    world.emulated_services.store.put("list", "w", b"1")
    assert [row.row.key for row in (await records.read_table("list", 5.0)).rows] == ["w"]
    heard = await records.changes("list", 1, 5.0)
    assert [(row.row.key, row.version) for row in heard.rows] == [("w", 2)]
    world.emulated_services.store.forget_history()
    assert await records.changes("list", 1, 5.0) == HistoryLost()
    removed = await records.transact((RowCondition(ROW, 1),), (RowWrite(ROW, None),), 5.0)
    assert removed.version == 3
    assert (await put(world, 1)).rows == (StoredRow(ROW, None, 0),)


@pytest.mark.parametrize(
    "faults", [ServiceFaults(lose_answers=1), ServiceFaults(malformed_probability=1)]
)
async def test_lost_answer_of_the_store_is_told_and_found_by_reading_back(world, faults):
    gate = world.emulated_services.store_gate
    gate.faults = faults
    lost = await put(world)
    assert (lost.reason, lost.run_state) == (Reason.STORE_UNAVAILABLE, RunState.UNKNOWN)
    gate.faults = ServiceFaults()
    assert (await put(world)).rows == (StoredRow(ROW, VALUE, 1),)
    assert world.emulated_services.store.calls.commits == 1


async def test_rate_limit_of_the_store_is_heeded(world):
    gate = world.emulated_services.store_gate
    gate.faults = ServiceFaults(requests_per_second=0.1, burst=1)
    assert (await world.records.read(ROW, "b", 5.0)).rows == ()
    limited = await world.records.read(ROW, "b", 5.0)
    assert (limited.reason, limited.run_state) == (Reason.RATE_LIMITED, RunState.NOT_RUN)
    assert 9.0 < limited.retry_after_seconds <= 10.0
    before = gate.requests
    held = await world.records.read(ROW, "b", 5.0)
    assert held.reason is Reason.RATE_LIMITED
    assert held.retry_after_seconds > 2.0
    assert gate.requests == before


async def test_machines(world):
    assert [machine.name for machine in await world.machines.machines()] == ["w", "b"]
    world.emulated_services.machines_gate.faults = ServiceFaults(malformed_probability=1)
    assert (await world.machines.machines()).run_state is RunState.UNKNOWN


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
async def test_tools_tell_whether_they_ran(world, faults, timeout, reason, run_state, runs):
    world.emulated_services.tools_gate.faults = faults
    if run_state is None:
        await world.emulated_services.tools_gate.enter()
        run_state = RunState.NOT_RUN
    refused = await world.tools.call(replace(HOLD, timeout_seconds=timeout))
    assert (refused.reason, refused.run_state) == (reason, run_state)
    assert len(world.emulated_services.tools.executions) == runs


async def test_tool_answers_and_unknown_tools(world):
    assert await world.tools.call(HOLD) == ToolResult("held: T1/1")
    nowhere = HttpTools(world.session, lambda tool: [])
    assert (await nowhere.call(HOLD)).run_state is RunState.NOT_RUN
    closed = HttpTools(world.session, lambda tool: ["http://127.0.0.1:1"])
    assert (await closed.call(HOLD)).run_state is RunState.NOT_RUN


class RawServer:
    """Answers every request with fixed bytes and closes; counts the requests."""

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
async def test_call_of_a_tool_is_sent_once_whatever_comes_back(world, answer):
    raw = RawServer(answer)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server:
        refused = await HttpTools(world.session, lambda tool: [url]).call(HOLD)
        assert refused.run_state is RunState.UNKNOWN
        assert raw.requests == 1
        engine = HttpEngine(world.session, {"w": url}.get)
        [refused] = [event async for event in engine.generate("w", ORDER)]
        assert isinstance(refused, Refused)
        assert refused.run_state is RunState.UNKNOWN


async def test_closing_a_stream_stops_the_engine_and_a_read_one_keeps_its_connection(world):
    opened = []
    world.emulated_services.engines["w"].gate.faults = EngineFaults()
    connector = world.session.connector
    create = connector._create_connection

    async def counted(*arguments, **keywords):
        opened.append(1)
        return await create(*arguments, **keywords)

    connector._create_connection = counted
    for _ in range(3):
        await generate(world)
    assert len(opened) == 1
    async with aclosing(world.engine.generate("w", ORDER)) as stream:
        assert isinstance(await anext(stream), TokenChunk)


async def test_a_stream_left_at_its_end_event_keeps_its_connection(world):
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
    engine = HttpEngine(world.session, {"w": url}.get)
    async with server:
        for _ in range(3):
            async with aclosing(engine.generate("w", ORDER)) as stream:
                assert isinstance(await anext(stream), GenerateFinished)
                end_seen.set()
        assert len(connections) == 1
        for writer in connections:
            writer.close()


async def test_faults_and_state_over_http(world):
    async with world.session.post(
        f"{world.base}/faults", json={"tools": {"lose_answers": 1}}
    ) as response:
        assert (await response.json())["tools"]["lose_answers"] == 1
    assert (await world.tools.call(HOLD)).run_state is RunState.UNKNOWN
    async with world.session.get(f"{world.base}/state") as response:
        state = await response.json()
    assert [run["call"] for run in state["tool_executions"]] == ["c1"]
    assert state["seats"]["holders"] == {"T1/1": "family"}
    async with world.session.post(f"{world.base}/faults", json={"tols": {}}) as response:
        assert response.status == 422
