"""A model call whose engine loses its answer or falls silent is answered by another worker."""

import asyncio
import json

import pytest
from aiohttp.test_utils import TestServer

from foxwinch.backends import engine_waits
from foxwinch.backends.engine_http import HttpEngine
from foxwinch.backends.engine_waits import MIN_SECONDS
from foxwinch.backends.ports import GenerateRequest, Message
from foxwinch.clock import SystemClock
from foxwinch.core.program.call_events import CallFinished
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_answers import plan_answer
from foxwinch.emulator.faults import EngineFaults
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import EmulatedEngine, EmulatorSettings
from foxwinch.http_exchange import new_session
from program_fakes import TENANT, Rig, collect

TOKENS = 4
HANG_SECONDS = 30
ORDER = GenerateRequest(
    "any", scoped_program_id(TENANT, "p"), "rail-chat", (Message("user", "hello"),), TOKENS, 0, 1
)
PLAN = plan_answer(ORDER, TOKENS).tokens
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
async def emulated_services():
    engines = tuple(EmulatedEngine(name=name, models=("rail-chat",)) for name in ("w1", "w2"))
    made = EmulatedServices(EmulatorSettings(engines=engines, pace="instant"), SystemClock())
    server = TestServer(build_application(made))
    await server.start_server()
    made.base = str(server.make_url("/workers"))
    yield made
    made.stop()
    await server.close()


async def first_tokens_and_silence(reader, writer):
    """Send headers and two tokens, then nothing until the client goes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD)
    for token in PLAN[:2]:
        line = json.dumps({"choices": [{"delta": {"content": token}}]})
        frame = f"data: {line}\n\n".encode()
        writer.write(f"{len(frame):x}\r\n".encode() + frame + b"\r\n")
    while await reader.read(65_536):
        pass
    writer.close()


async def answered_by_two(urls, session):
    """Run a call that is granted w1 first and w2 next."""
    rig = Rig()
    rig.engine.generate = HttpEngine(session, urls.get).generate
    async with asyncio.timeout(HANG_SECONDS):
        text, last = await collect(rig.model(maximum_tokens=TOKENS))
    assert isinstance(last, CallFinished)
    assert text == "".join(PLAN)
    assert [usage.failed for usage in rig.grants.settled] == [True, False]


@pytest.mark.parametrize("fault", [EngineFaults(lose_answers=1), EngineFaults(silent=True)])
async def test_lost_answer_is_had_from_another_worker(emulated_services, monkeypatch, fault):
    monkeypatch.setattr(engine_waits, "FIRST_EVENT_SECONDS", 1.0)
    emulated_services.engines["w1"].gate.faults = fault
    urls = {name: f"{emulated_services.base}/{name}" for name in ("w1", "w2")}
    async with new_session() as session:
        await answered_by_two(urls, session)


async def test_stream_that_falls_silent_is_resumed_behind_what_was_sent(
    emulated_services, monkeypatch
):
    monkeypatch.setattr(engine_waits, "EVENT_GAP_SECONDS", 1.0)
    server = await asyncio.start_server(first_tokens_and_silence, "127.0.0.1", 0)
    silent = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    async with server, new_session() as session:
        await answered_by_two({"w1": silent, "w2": f"{emulated_services.base}/w2"}, session)
    assert list(emulated_services.engines["w2"].resumes.values()) == [1]


def test_waits_leave_half_of_the_deadline_but_no_engine_is_given_up_at_once():
    assert engine_waits.engine_waits(5.0, 0).first_event_seconds == 2.5
    assert engine_waits.engine_waits(0.0, 0).first_event_seconds == MIN_SECONDS
    unbounded = engine_waits.engine_waits(None, 0)
    assert engine_waits.engine_waits(60.0, 0) == unbounded
    assert unbounded.event_gap_seconds < unbounded.first_event_seconds
    assert engine_waits.engine_waits(None, 100).first_event_seconds > unbounded.first_event_seconds
