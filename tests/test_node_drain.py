"""A draining node finishes requests in flight and rejects new ones as not run."""

import asyncio
from pathlib import Path

from aiohttp.test_utils import TestClient, TestServer

from foxwinch.backends.ports import GenerateFinished, TokenChunk
from foxwinch.clock import SystemClock
from foxwinch.node.node import build_node
from foxwinch.node.ports import NodePorts
from foxwinch.settings.base import check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings
from idle_engine import IdleEngine

CLEDWYN = Path(__file__).parents[1] / "examples" / "cledwyn.toml"
REQUEST = {"model": "rail-chat", "messages": [{"role": "user", "content": "Hello"}]}


class BlockingEngine(IdleEngine):
    """An engine that finishes its response once `released` is set."""

    def __init__(self) -> None:
        self.generating = asyncio.Event()
        self.released = asyncio.Event()

    async def generate(self, worker, order):
        self.generating.set()
        yield TokenChunk("whole ", 1)
        await self.released.wait()
        yield TokenChunk("answer", 1)
        yield GenerateFinished("stop", 1, 0, 2)


def _document() -> ClusterConfiguration:
    values = read_toml(CLEDWYN)
    document = check(ClusterConfiguration, values, str(CLEDWYN))
    assert isinstance(document, ClusterConfiguration)
    return document


async def test_drain_finishes_running_requests_and_rejects_new_ones(caller_key, with_caller_key):
    engine = BlockingEngine()
    settings = NodeSettings(name="node-1", region="cymru", zone="caerdydd", drain_seconds=30)
    node = build_node(settings, NodePorts(SystemClock(), engine), with_caller_key(_document()))
    await node.start()
    headers = {"Authorization": f"Bearer {caller_key}"}
    async with TestClient(TestServer(node.caller_application()), headers=headers) as client:
        request_task = asyncio.create_task(client.post("/v1/chat/completions", json=REQUEST))
        await engine.generating.wait()
        assert (await client.get("/readyz")).status == 200
        drain_task = asyncio.create_task(node.drain())
        await asyncio.sleep(0)
        refused = await client.post("/v1/chat/completions", json=REQUEST)
        error = (await refused.json())["error"]
        assert refused.status == 503
        assert refused.headers["Retry-After"] == "1"
        assert error["run_state"] == "not_run"
        assert (await client.get("/readyz")).status == 503
        assert (await client.get("/healthz")).status == 200
        assert not drain_task.done()
        engine.released.set()
        answer = await (await request_task).json()
        assert answer["choices"][0]["message"]["content"] == "whole answer"
        assert await drain_task
    await node.stop()


async def test_drain_ends_at_its_timeout(caller_key, with_caller_key):
    engine = BlockingEngine()
    settings = NodeSettings(name="node-1", region="cymru", zone="caerdydd", drain_seconds=0.05)
    node = build_node(settings, NodePorts(SystemClock(), engine), with_caller_key(_document()))
    await node.start()
    headers = {"Authorization": f"Bearer {caller_key}"}
    async with TestClient(TestServer(node.caller_application()), headers=headers) as client:
        request_task = asyncio.create_task(client.post("/v1/chat/completions", json=REQUEST))
        await engine.generating.wait()
        assert not await node.drain()
        engine.released.set()
        assert (await request_task).status == 200
    await node.stop()
