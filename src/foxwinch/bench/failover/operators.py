"""What the bench asks of the operators' side: owners of programs, changes of configuration."""

import asyncio
import json
import time
import uuid

from foxwinch._generated import operator_pb2 as pb
from foxwinch.bench.failover.cluster import FailoverCluster, TestedNode
from foxwinch.operator.client import OperatorClient
from foxwinch.outcomes import Refused

REQUEST_SECONDS = 10.0
POLL_SECONDS = 0.1
SPREAD_SECONDS = 30.0
"""Beyond this a change counts as not spread."""
ALL_PROGRAMS = 1_000


def client_of(cluster: FailoverCluster, node: TestedNode) -> OperatorClient:
    """Return a client of one node's operator side."""
    host, port = node.operator_address
    return OperatorClient(host, port, cluster.operator_key, REQUEST_SECONDS)


async def programs_by_owner(cluster: FailoverCluster) -> dict[str, set[str]]:
    """Return the running programs of each node, by the node's name."""
    async with client_of(cluster, cluster.usable()[0]) as client:
        listed = await client.query(
            lambda stub: stub.ListPrograms, pb.ListProgramsRequest(limit=ALL_PROGRAMS)
        )
    if isinstance(listed, Refused):
        raise RuntimeError(f"programs cannot be listed: {listed.detail}")
    found: dict[str, set[str]] = {}
    for program in listed.programs:
        found.setdefault(name_of_node(program.node), set()).add(program.program_id)
    return found


def name_of_node(identity: str) -> str:
    """Return the configured name in a node's identity."""
    return identity.rpartition("-")[0]


async def change_configuration(cluster: FailoverCluster) -> float | None:
    """Change one limit; returns the seconds until it is in force at every usable node.

    None when the change was not accepted; the fault of a scenario may prevent that.
    """
    reachable = [node for node in cluster.usable() if not node.cut]
    async with client_of(cluster, reachable[0]) as client:
        got = await client.query(lambda stub: stub.GetConfiguration, pb.GetConfigurationRequest())
        if isinstance(got, Refused):
            return None
        document = json.loads(got.document_json)
        document["tenants"][0]["requests_per_second"] += 1.0
        request = pb.ApplyConfigurationRequest(
            expected_revision=got.revision,
            document_json=json.dumps(document),
            token=uuid.uuid4().hex,
        )
        accepted = await client.command(lambda stub: stub.ApplyConfiguration, request)
        if isinstance(accepted, Refused):
            return None
        return await _spread_seconds(cluster, client, accepted.revision)


async def _spread_seconds(
    cluster: FailoverCluster, client: OperatorClient, revision: int
) -> float | None:
    began_at = time.monotonic()
    while time.monotonic() - began_at < SPREAD_SECONDS:
        status = await client.query(
            lambda stub: stub.GetConfigurationStatus, pb.GetConfigurationStatusRequest()
        )
        if not isinstance(status, Refused):
            usable = {node.name for node in cluster.usable() if not node.cut}
            held = {name_of_node(row.node) for row in status.nodes if row.held_revision >= revision}
            if usable <= held:
                return round(time.monotonic() - began_at, 3)
        await asyncio.sleep(POLL_SECONDS)
    return SPREAD_SECONDS
