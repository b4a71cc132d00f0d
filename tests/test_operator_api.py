"""The gRPC service for operators, tested with an independent client library."""

import asyncio
from pathlib import Path

import grpc
import pytest
from grpclib.health.v1.health_pb2 import HealthCheckRequest, HealthCheckResponse

from foxwinch._generated import operator_pb2 as pb
from foxwinch.backends.engine_http import HttpEngine
from foxwinch.clock import SystemClock
from foxwinch.gateway.authentication import hash_key
from foxwinch.node.node import build_node
from foxwinch.node.ports import NodePorts
from foxwinch.operator.server import MAX_REQUEST_BYTES, OperatorServer
from foxwinch.settings.load import load_cluster_configuration
from foxwinch.settings.process import NodeSettings

PHYSIO = Path(__file__).parents[1] / "examples" / "physio.toml"
KEY = "an-operator-key"
SERVICE = "foxwinch.v1.Operator"


@pytest.fixture
async def node():
    settings = NodeSettings(name="node-1", region="kerala-south", zone="tvm-hall")
    ports = NodePorts(SystemClock(), HttpEngine(None, lambda worker: None))
    built = build_node(settings, ports, load_cluster_configuration(PHYSIO))
    await built.start()
    yield built
    await built.stop()


@pytest.fixture
async def server(node):
    started = OperatorServer(node.parts.operator.handlers, (hash_key(KEY),), "127.0.0.1", 0)
    await started.start()
    yield started
    await started.stop()


@pytest.fixture
async def channel(server):
    async with grpc.aio.insecure_channel(f"127.0.0.1:{server.port}") as opened:
        yield opened


async def ask(channel, method, request, response_type, key=KEY, timeout=5.0):
    call = channel.unary_unary(
        f"/{SERVICE}/{method}",
        request_serializer=lambda message: message.SerializeToString(),
        response_deserializer=response_type.FromString,
    )
    metadata = (("authorization", f"Bearer {key}"),) if key else ()
    return await call(request, timeout=timeout, metadata=metadata)


async def test_health_check_needs_no_key_and_reflects_the_drain(channel, server):
    check = channel.unary_unary(
        "/grpc.health.v1.Health/Check",
        request_serializer=HealthCheckRequest.SerializeToString,
        response_deserializer=HealthCheckResponse.FromString,
    )
    for service in ("", SERVICE):
        answer = await check(HealthCheckRequest(service=service))
        assert answer.status == HealthCheckResponse.SERVING
    server.set_serving(False)
    answer = await check(HealthCheckRequest())
    assert answer.status == HealthCheckResponse.NOT_SERVING


@pytest.mark.parametrize("key", ["", "wrong"])
async def test_a_wrong_key_is_rejected(channel, node, key):
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await ask(
            channel, "DrainNode", pb.DrainNodeRequest(node=node.context.node),
            pb.DrainNodeResponse, key=key,
        )  # fmt: skip
    assert caught.value.code() is grpc.StatusCode.UNAUTHENTICATED
    assert not node.context.stop_requested.is_set()


async def test_nodes_list_and_drain(channel, node):
    listed = await ask(channel, "ListNodes", pb.ListNodesRequest(), pb.ListNodesResponse)
    (status,) = listed.nodes
    assert (status.node, status.zone, status.state) == (node.context.node, "tvm-hall", "alive")
    assert status.answered
    assert status.configuration_revision == 1
    await ask(channel, "DrainNode", pb.DrainNodeRequest(node=status.node), pb.DrainNodeResponse)
    assert node.context.stop_requested.is_set()


async def test_a_refusal_carries_reason_and_run_state(channel):
    request = pb.DrainNodeRequest(node="no-such-node")
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await ask(channel, "DrainNode", request, pb.DrainNodeResponse)
    assert caught.value.code() is grpc.StatusCode.NOT_FOUND
    trailing = dict(caught.value.trailing_metadata())
    assert trailing["foxwinch-reason"] == "not_found"
    assert trailing["foxwinch-run-state"] == "not_run"


async def test_a_request_is_cancelled_at_its_deadline(channel, node, monkeypatch):
    queries = node.parts.operator.handlers._queries
    ended = asyncio.Event()

    async def hang():
        try:
            await asyncio.Event().wait()
        finally:
            ended.set()

    monkeypatch.setattr(queries, "nodes", hang)
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await ask(channel, "ListNodes", pb.ListNodesRequest(), pb.ListNodesResponse, timeout=0.1)
    assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    await asyncio.wait_for(ended.wait(), 10)


async def test_an_oversized_request_is_rejected(channel):
    request = pb.CheckConfigurationRequest(document_json="x" * (MAX_REQUEST_BYTES + 1))
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await ask(channel, "CheckConfiguration", request, pb.CheckConfigurationResponse)
    assert caught.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED


async def test_configuration_is_read_validated_and_compared(channel):
    got = await ask(
        channel, "GetConfiguration", pb.GetConfigurationRequest(), pb.GetConfigurationResponse
    )
    assert got.revision == 1
    changed = got.document_json.replace('"calls":400', '"calls":401')
    assert changed != got.document_json
    difference = await ask(
        channel, "DiffConfiguration", pb.DiffConfigurationRequest(document_json=changed),
        pb.DiffConfigurationResponse,
    )  # fmt: skip
    (item,) = difference.differences
    assert item.path == "templates.coaching.budget.calls"
    assert (item.in_force_json, item.proposed_json) == ("400", "401")
    wrong = got.document_json.replace('"default_template":"plan-draft"', '"default_template":"x"')
    checked = await ask(
        channel, "CheckConfiguration", pb.CheckConfigurationRequest(document_json=wrong),
        pb.CheckConfigurationResponse,
    )  # fmt: skip
    assert "default_template = 'x'" in checked.problems[0]
    assert "plan-draft" in checked.problems[0]
