"""Requests to the operator API: owners of programs and configuration changes."""

import asyncio
import json
import time
import uuid

from foxwinch._generated import operator_pb2 as pb
from foxwinch.bench.failover.cluster import FailoverCluster, TestedNode
from foxwinch.operator.client import OperatorClient
from foxwinch.outcomes import Refused

REQUEST_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.1
PROPAGATION_TIMEOUT_SECONDS = 30.0
"""Timeout for a configuration change to reach every usable node."""
MAX_LISTED_PROGRAMS = 1_000


def operator_client(cluster: FailoverCluster, node: TestedNode) -> OperatorClient:
    """Return a client of one node's operator API."""
    host, port = node.operator_address
    return OperatorClient(host, port, cluster.operator_key, REQUEST_TIMEOUT_SECONDS)


async def programs_by_owner(cluster: FailoverCluster) -> dict[str, set[str]]:
    """Return the identifiers of running programs by the name of their node."""
    async with operator_client(cluster, cluster.usable()[0]) as client:
        listed = await client.query(
            lambda stub: stub.ListPrograms, pb.ListProgramsRequest(limit=MAX_LISTED_PROGRAMS)
        )
    if isinstance(listed, Refused):
        raise RuntimeError(f"could not list programs: {listed.detail}")
    found: dict[str, set[str]] = {}
    for program in listed.programs:
        found.setdefault(node_name(program.node), set()).add(program.program_id)
    return found


def node_name(identity: str) -> str:
    """Return a node's configured name from its identity."""
    return identity.rpartition("-")[0]


async def change_configuration(cluster: FailoverCluster) -> float | None:
    """Change a limit; return the seconds until it is active at every usable node.

    Return None if the change was not accepted, which the fault of a scenario may cause.
    """
    reachable = [node for node in cluster.usable() if not node.isolated]
    async with operator_client(cluster, reachable[0]) as client:
        fetched = await client.query(
            lambda stub: stub.GetConfiguration, pb.GetConfigurationRequest()
        )
        if isinstance(fetched, Refused):
            return None
        document = json.loads(fetched.document_json)
        document["tenants"][0]["requests_per_second"] += 1.0
        request = pb.ApplyConfigurationRequest(
            expected_revision=fetched.revision,
            document_json=json.dumps(document),
            token=uuid.uuid4().hex,
        )
        accepted = await client.command(lambda stub: stub.ApplyConfiguration, request)
        if isinstance(accepted, Refused):
            return None
        return await _propagation_seconds(cluster, client, accepted.revision)


async def _propagation_seconds(
    cluster: FailoverCluster, client: OperatorClient, revision: int
) -> float | None:
    began_at = time.monotonic()
    while time.monotonic() - began_at < PROPAGATION_TIMEOUT_SECONDS:
        status = await client.query(
            lambda stub: stub.GetConfigurationStatus, pb.GetConfigurationStatusRequest()
        )
        if not isinstance(status, Refused):
            usable = {node.name for node in cluster.usable() if not node.isolated}
            held = {node_name(row.node) for row in status.nodes if row.held_revision >= revision}
            if usable <= held:
                return round(time.monotonic() - began_at, 3)
        await asyncio.sleep(POLL_SECONDS)
    return PROPAGATION_TIMEOUT_SECONDS
