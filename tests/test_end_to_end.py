"""A request passes through a node to an emulated engine, and its answer returns complete."""

import asyncio
from pathlib import Path

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from foxwinch.backends.ports import GenerateRequest, Message
from foxwinch.clock import SystemClock
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.engine_answers import plan_answer
from foxwinch.emulator.server import build_application
from foxwinch.emulator.settings import settings_of_cluster
from foxwinch.gateway.authentication import hash_key
from foxwinch.node.node import build_single_node
from foxwinch.settings.base import check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration

CLEDWYN = Path(__file__).parents[1] / "examples" / "cledwyn.toml"
KEY = "a-key-of-the-tests"
CALL = {
    "model": "rail-chat",
    "messages": [{"role": "user", "content": "To Wrecsam, please."}],
    "max_tokens": 3,
}


async def wait_until_served(client):
    """Wait until the workers have coordinators, retrying after the node's Retry-After."""
    while True:
        async with client.post("/v1/chat/completions", json=CALL) as response:
            if response.status != 503:
                return
            assert (await response.json())["error"]["run_state"] == "not_run"
            await asyncio.sleep(float(response.headers["Retry-After"]))


@pytest.fixture
async def caller():
    document = check(ClusterConfiguration, read_toml(CLEDWYN), str(CLEDWYN))
    assert isinstance(document, ClusterConfiguration)
    settings = settings_of_cluster(document).model_copy(update={"pace": "instant"})
    engines = TestServer(build_application(EmulatedServices(settings, SystemClock())))
    await engines.start_server()
    base = str(engines.make_url("/workers"))
    workers = tuple(w.model_copy(update={"url": f"{base}/{w.name}"}) for w in document.workers)
    tenant = document.tenants[0].model_copy(update={"key_hashes": (hash_key(KEY),)})
    document = document.model_copy(update={"workers": workers, "tenants": (tenant,)})
    async with aiohttp.ClientSession() as session:
        node = build_single_node(document, session)
        await node.start()
        gateway = TestServer(node.caller_application())
        await gateway.start_server()
        async with aiohttp.ClientSession(
            base_url=gateway.make_url("/"), headers={"Authorization": f"Bearer {KEY}"}
        ) as client:
            await wait_until_served(client)
            yield client
        await gateway.close()
        await node.stop()
    await engines.close()


async def test_complete_answer(caller):
    async with caller.post("/v1/chat/completions", json=CALL) as response:
        document = await response.json()
    assert response.status == 200
    program = scoped_program_id("seat-reservations", response.headers["X-Foxwinch-Program"])
    messages = (Message("user", "To Wrecsam, please."),)
    order = GenerateRequest("any", program, "rail-chat", messages, 3, 0, 1)
    expected = "".join(plan_answer(order, 3).tokens)
    assert document["choices"][0]["message"]["content"] == expected
    assert document["usage"]["completion_tokens"] == 3


async def test_streamed_answer_ends_with_done(caller):
    async with caller.post("/v1/chat/completions", json={**CALL, "stream": True}) as response:
        lines = (await response.text()).strip().split("\n\n")
    assert len(lines) == 5
    assert lines[-1] == "data: [DONE]"


async def test_unknown_key_is_refused_as_not_run(caller):
    headers = {"Authorization": "Bearer wrong"}
    async with caller.post("/v1/chat/completions", json=CALL, headers=headers) as response:
        document = await response.json()
    assert response.status == 401
    assert document["error"]["run_state"] == "not_run"
