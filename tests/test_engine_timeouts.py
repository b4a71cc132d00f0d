"""A model call whose engine loses the response or stops responding is resumed on another worker."""

import asyncio
import json

import pytest
from aiohttp.test_utils import TestServer

from foxwinch.backends import engine_timeouts
from foxwinch.backends.engine_http import HttpEngine
from foxwinch.backends.engine_timeouts import MIN_TIMEOUT_SECONDS
from foxwinch.backends.ports import GenerateRequest, Message
from foxwinch.clock import SystemClock
from foxwinch.core.program.call_events import CallFinished
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_answers import plan_answer
from foxwinch.emulator.faults import EngineFaults
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import EmulatedEngine, EmulatorSettings
from foxwinch.http_client import new_session
from program_fakes import TENANT, Rig, collect

TOKENS = 4
HANG_SECONDS = 30
REQUEST = GenerateRequest(
    "any", scoped_program_id(TENANT, "p"), "rail-chat", (Message("user", "hello"),), TOKENS, 0, 1
)
EXPECTED_TOKENS = plan_answer(REQUEST, TOKENS).tokens
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
async def emulated_services():
    engines = tuple(EmulatedEngine(name=name, models=("rail-chat",)) for name in ("w1", "w2"))
    services = EmulatedServices(EmulatorSettings(engines=engines, pace="instant"), SystemClock())
    server = TestServer(build_application(services))
    await server.start_server()
    services.base = str(server.make_url("/workers"))
    yield services
    services.stop()
    await server.close()


async def send_two_tokens_and_stall(reader, writer):
    """Send headers and two tokens, then nothing until the client disconnects."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    for token in EXPECTED_TOKENS[:2]:
        line = json.dumps({"choices": [{"delta": {"content": token}}]})
        frame = f"data: {line}\n\n".encode()
        writer.write(f"{len(frame):x}\r\n".encode() + frame + b"\r\n")
    while await reader.read(65_536):
        pass
    writer.close()


async def check_resumed_on_second_worker(urls, session):
    """Run a call that is granted w1 first and w2 next, and check that w2 completes it."""
    rig = Rig()
    rig.engine.generate = HttpEngine(session, urls.get).generate
    async with asyncio.timeout(HANG_SECONDS):
        text, last = await collect(rig.model(maximum_tokens=TOKENS))
    assert isinstance(last, CallFinished)
    assert text == "".join(EXPECTED_TOKENS)
    assert [usage.failed for usage in rig.grants.settled] == [True, False]


@pytest.mark.parametrize("fault", [EngineFaults(lose_answers=1), EngineFaults(silent=True)])
async def test_lost_response_is_regenerated_by_another_worker(
    emulated_services, monkeypatch, fault
):
    monkeypatch.setattr(engine_timeouts, "FIRST_EVENT_SECONDS", 1.0)
    emulated_services.engines["w1"].gate.faults = fault
    urls = {name: f"{emulated_services.base}/{name}" for name in ("w1", "w2")}
    async with new_session() as session:
        await check_resumed_on_second_worker(urls, session)


async def test_stalled_stream_is_resumed_after_the_chunks_already_sent(
    emulated_services, monkeypatch
):
    monkeypatch.setattr(engine_timeouts, "EVENT_GAP_SECONDS", 1.0)
    server = await asyncio.start_server(send_two_tokens_and_stall, "127.0.0.1", 0)
    stalled_url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server, new_session() as session:
        await check_resumed_on_second_worker(
            {"w1": stalled_url, "w2": f"{emulated_services.base}/w2"}, session
        )
    assert list(emulated_services.engines["w2"].resumes.values()) == [1]


def test_timeouts_are_half_of_the_deadline_with_a_minimum():
    assert engine_timeouts.engine_timeouts(5.0, 0).first_event_seconds == 2.5
    assert engine_timeouts.engine_timeouts(0.0, 0).first_event_seconds == MIN_TIMEOUT_SECONDS
    unbounded = engine_timeouts.engine_timeouts(None, 0)
    assert engine_timeouts.engine_timeouts(60.0, 0) == unbounded
    assert unbounded.event_gap_seconds < unbounded.first_event_seconds
    assert (
        engine_timeouts.engine_timeouts(None, 100).first_event_seconds
        > unbounded.first_event_seconds
    )
