"""The HTTP API for callers: the unmodified `openai` client, the program API, limits, refusals."""

import asyncio
import json
from dataclasses import dataclass

import aiohttp
import openai
import pytest

from foxwinch.clock import SystemClock
from foxwinch.gateway.authentication import hash_key
from foxwinch.identifiers import NodeId
from foxwinch.node.http_service import HttpService
from foxwinch.node.node import build_node
from foxwinch.node.ports import NodePorts
from foxwinch.outcomes import Reason, not_run
from foxwinch.settings.cluster import TenantSettings
from foxwinch.settings.process import CallerLimits, NodeSettings
from program_fakes import BROKEN, FakeEngine, FakeTools, document

KEY, OTHER_KEY = "key-one", "key-two"
HELLO = [{"role": "user", "content": "To Wrecsam, please."}]
BODY = {"model": "rail-chat", "messages": HELLO, "max_tokens": 8}
LIMITS = CallerLimits(body_bytes=20_000, header_bytes=2_048, history_bytes=10_000, connections=6)
"""Has the default read timeout, so that a stalled test machine does not look like a slow caller."""
SHORT_READ_LIMITS = LIMITS.model_copy(update={"read_seconds": 1.0})


@dataclass
class Served:
    url: str
    engine: FakeEngine
    tools: FakeTools
    port: int

    def openai(self, key=KEY, **options):
        return openai.AsyncOpenAI(
            base_url=self.url + "/v1", api_key=key, max_retries=0, timeout=10, **options
        )

    def http(self, key=KEY):
        return aiohttp.ClientSession(self.url, headers={"Authorization": f"Bearer {key}"})


@pytest.fixture
async def served(request):
    limits = getattr(request, "param", LIMITS)
    tenants = (
        document().tenants[0].model_copy(update={"key_hashes": (hash_key(KEY),)}),
        TenantSettings(name="other", key_hashes=(hash_key(OTHER_KEY),)),
    )
    engine, tools = FakeEngine(), FakeTools()
    engine.pause_seconds = tools.pause_seconds = 0.0
    ports = NodePorts(clock=SystemClock(), engine=engine, tools=tools)
    settings = NodeSettings(name="n", region="cymru", zone="caerdydd", caller_limits=limits)
    node = build_node(
        settings, ports, document().model_copy(update={"tenants": tenants}), node=NodeId("n")
    )
    await node.start()
    service = HttpService(node.caller_application(), limits=limits)
    await service.start()
    yield Served(f"http://127.0.0.1:{service.bound_port}", engine, tools, service.bound_port)
    await service.stop()
    await node.stop()


async def post(session, path, body=None, **headers):
    async with session.post(path, json=body or {}, headers=headers) as response:
        return response.status, await response.json(), response.headers


async def test_openai_client_gets_complete_and_streamed_answers(served):
    async with served.openai() as client:
        whole = await client.chat.completions.create(**BODY)
        assert whole.choices[0].message.content == "the next train"
        assert whole.choices[0].finish_reason == "stop"
        assert whole.usage.prompt_tokens == 7
        options = {"stream": True, "stream_options": {"include_usage": True}}
        stream = await client.chat.completions.create(**BODY, **options)
        chunks = [chunk async for chunk in stream]
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        assert text == "the next train"
        assert chunks[0].choices[0].delta.role == "assistant"
        assert chunks[-2].choices[0].finish_reason == "stop"
        assert chunks[-1].usage.completion_tokens == 3
        assert [m.id async for m in client.models.list()] == ["rail-chat"]
        assert (await client.models.retrieve("rail-chat")).id == "rail-chat"


async def test_openai_client_raises_its_own_error_types(served):
    async with served.openai("wrong") as client:
        with pytest.raises(openai.AuthenticationError):
            await client.models.list()
    async with served.openai() as client:
        with pytest.raises(openai.BadRequestError) as refused:
            await client.chat.completions.create(**{**BODY, "model": "nothing"})
        assert refused.value.body["run_state"] == "not_run"
        assert "rail-chat" in refused.value.body["message"]
        served.engine.failures = [(1, BROKEN)] * 3
        with pytest.raises(openai.APIError) as broken:
            async for _ in await client.chat.completions.create(**BODY, stream=True):
                pass
        assert broken.value.body["run_state"] == "ran"


async def test_openai_client_continues_a_program_by_header(served):
    async with served.openai(default_headers={"X-Foxwinch-Program": "family-7"}) as client:
        first = await client.chat.completions.create(**BODY)
        answer = first.choices[0].message.model_dump()
        following = [*HELLO, answer, {"role": "user", "content": "By a window."}]
        await client.chat.completions.create(**{**BODY, "messages": following})
        assert [len(order.messages) for order in served.engine.orders] == [1, 3]
        wrong = [{"role": "user", "content": "Something else."}]
        with pytest.raises(openai.ConflictError) as conflict:
            await client.chat.completions.create(**{**BODY, "messages": wrong})
        assert "index 0" in conflict.value.body["message"]
        await client.chat.completions.create(
            **{**BODY, "messages": wrong}, extra_headers={"X-Foxwinch-Append": "true"}
        )
        assert len(served.engine.orders[-1].messages) == 5


async def test_unknown_fields_and_structured_content_pass_through(served):
    parts = [{"role": "user", "content": [{"type": "text", "text": "hi"}], "name": "anna"}]
    async with served.http() as http:
        body = {**BODY, "messages": parts, "temperature": 0.5, "vendor_field": {"a": [1]}}
        status, _, _ = await post(http, "/v1/chat/completions", body)
    assert status == 200
    order = served.engine.orders[0]
    assert order.parameters == {"temperature": 0.5, "vendor_field": {"a": [1]}}
    assert order.messages[0].extra["content"] == parts[0]["content"]
    assert order.messages[0].extra["name"] == "anna"


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"model": 5}, "model"),
        ({"messages": "hi"}, "messages"),
        ({"messages": []}, "messages"),
        ({"messages": [{"role": "king", "content": ""}]}, "messages[0].role"),
        ({"messages": [{"role": "user", "content": 5}]}, "messages[0].content"),
        ({"max_tokens": -1}, "max_tokens"),
        ({"max_tokens": True}, "max_tokens"),
        ({"temperature": "hot"}, "temperature"),
        ({"stream": "yes"}, "stream"),
        ({"n": 2}, "n"),
        ({"stream_options": []}, "stream_options"),
    ],
)
async def test_wrong_types_are_refused_with_field_value_and_allowed_values(served, change, field):
    async with served.http() as http:
        status, answer, _ = await post(http, "/v1/chat/completions", {**BODY, **change})
    assert status == 400
    assert answer["error"]["param"] == field
    assert answer["error"]["run_state"] == "not_run"
    assert "must be" in answer["error"]["message"]
    assert served.engine.orders == []


async def test_refusals_carry_retry_after(served):
    served.engine.failures = [(0, not_run(Reason.OVERLOADED, "full", 2.4))]
    async with served.http() as http:
        status, answer, headers = await post(http, "/v1/chat/completions", BODY)
    assert (status, headers["Retry-After"]) == (503, "3")
    assert answer["error"]["run_state"] == "not_run"


async def test_program_api_from_creation_to_finish(served):
    async with served.http() as http:
        status, made, _ = await post(http, "/v1/programs", {"template": "journey-planner"})
        assert (status, made["state"]) == (201, "live")
        path = f"/v1/programs/{made['id']}"
        _, answer, headers = await post(http, path + "/calls", BODY)
        assert answer["choices"][0]["message"]["content"] == "the next train"
        asked = {"tool": "hold-seats", "arguments": {"seats": 4}, "tool_call_id": "t1"}
        _, held, _ = await post(http, path + "/tools", asked)
        assert held["message"] == {"role": "tool", "content": "held", "tool_call_id": "t1"}
        assert served.tools.orders[0].arguments == {"seats": 4}
        status, child, _ = await post(http, path + "/spawn", {"template": "itinerary"})
        assert (status, child["parent"]) == (201, made["id"])
        await post(http, f"/v1/programs/{child['id']}/calls", BODY)
        async with http.get(path + "/history") as response:
            history = (await response.json())["messages"]
        assert [m["role"] for m in history] == ["user", "assistant", "tool"]
        call = headers["X-Foxwinch-Call"]
        async with http.get(f"{path}/calls/{call}/stream?offset=2") as response:
            lines = (await response.text()).split("\n\n")
        assert json.loads(lines[0][6:])["choices"][0]["delta"] == {"content": "train"}
        _, ended, _ = await post(http, path + "/finish")
        assert (ended["state"], ended["spent"]["calls"]) == ("finished", 4)
        status, late, _ = await post(http, path + "/calls", BODY)
        assert (status, late["error"]["code"]) == (409, "program_finished")


async def test_one_tenant_never_sees_anothers_program(served):
    async with served.http() as one, served.http(OTHER_KEY) as other:
        await post(one, "/v1/programs", {"template": "booking", "name": "secret"})
        answers = []
        for name in ("secret", "absent"):
            async with other.get(f"/v1/programs/{name}/history") as response:
                answers.append((response.status, await response.json()))
        assert answers[0] == answers[1]
        assert answers[0][0] == 404
        status, _, _ = await post(
            other, "/v1/programs", {"template": "itinerary", "name": "secret"}
        )
        assert status == 201


async def test_a_repeated_key_without_a_program_gets_the_first_answer(served):
    async with served.http() as http:
        answers = [
            (await post(http, "/v1/chat/completions", BODY, **{"Idempotency-Key": "k"}))[1]
            for _ in range(2)
        ]
    assert answers[0]["id"] == answers[1]["id"]
    assert len(served.engine.orders) == 1


async def test_a_client_disconnect_cancels_its_call(served):
    served.engine.pause_seconds = 30.0
    async with served.http() as http:
        call = asyncio.create_task(post(http, "/v1/chat/completions", BODY))
        async with asyncio.timeout(5):
            while not served.engine.orders:  # noqa: ASYNC110 - the fake has no event
                await asyncio.sleep(0.01)
        call.cancel()
    async with asyncio.timeout(5):
        while not served.engine.cancelled:  # noqa: ASYNC110 - the fake has no event
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("path", "data", "status"),
    [
        ("/v1/chat/completions", b"{", 400),
        ("/v1/chat/completions", b"[]", 400),
        ("/v1/chat/completions", b"[" * 5_000, 400),
        ("/v1/chat/completions", b" " * 30_000, 400),
        ("/v1/programs", b'{"template": "nothing"}', 400),
        ("/v1/programs", b'{"template": "booking", "name": "a/../b"}', 400),
        ("/v1/programs/%20/calls", b"{}", 400),
        ("/v1/nothing", b"", 404),
    ],
)
async def test_malformed_requests_get_typed_errors(served, path, data, status):
    async with served.http() as http, http.post(path, data=data) as response:
        answer = await response.json()
    assert response.status == status
    assert answer["error"]["run_state"] == "not_run"


async def test_histories_are_bounded(served):
    long = [{"role": "user", "content": "x" * 11_000}]
    async with served.http() as http:
        status, answer, _ = await post(http, "/v1/chat/completions", {**BODY, "messages": long})
    assert status == 400
    assert "history" in answer["error"]["message"]


async def read_to_end(reader):
    async with asyncio.timeout(5):
        return await reader.read()


@pytest.mark.parametrize("served", [SHORT_READ_LIMITS], indirect=True)
@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\n"
        b"Content-Length: 100\r\n\r\n{",
        b"\x16\x03\x01 nonsense\r\n\r\n",
    ],
)
async def test_slow_half_open_and_malformed_connections_are_closed(served, sent):
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    writer.write(sent)
    await read_to_end(reader)
    writer.close()
    async with served.http() as http:
        status, _, _ = await post(http, "/v1/chat/completions", BODY)
    assert status == 200


async def test_connections_are_bounded(served):
    opened = [await asyncio.open_connection("127.0.0.1", served.port) for _ in range(6)]
    await asyncio.sleep(0)
    reader, writer = await asyncio.open_connection("127.0.0.1", served.port)
    writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    with pytest.raises((ConnectionResetError, AssertionError)):
        assert await read_to_end(reader) != b""
    for _, held in [*opened, (reader, writer)]:
        held.close()
