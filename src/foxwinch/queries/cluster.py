"""Operator queries over all nodes of the region, answered by any node."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch._generated.operator_pb2 import (
    FactsRequest,
    FactsResponse,
    ListProgramsRequest,
    ListProgramsResponse,
    ListWorkersResponse,
    NodeStatus,
    ProgramDetail,
)
from foxwinch.commands.ports import LocateTree
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.membership.ports import MembershipView
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerContext, PeerPort, parse_address
from foxwinch.queries.facts import NodeFacts, ProgramFacts, WorkerFacts
from foxwinch.records.program_trees import OwnedElsewhere

FACTS_METHOD = "operator.facts"
PROGRAM_METHOD = "operator.program"
REQUEST_TIMEOUT_SECONDS = 2.0
"""Timeout of a request to another node; far above a region's round-trip time.

A node that does not return its facts in time is listed as unresponsive.
"""
MAX_CONCURRENT_REQUESTS = 32
"""Limit on concurrent requests, so that a query over hundreds of nodes causes no burst."""
DEFAULT_PROGRAM_LIMIT = 100
MAX_PROGRAM_LIMIT = 1_000
QUERIED_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


@dataclass(frozen=True, slots=True)
class LocalFacts:
    """Ports that report the state of this node, its workers and its programs."""

    node: NodeFacts
    workers: WorkerFacts
    programs: ProgramFacts


@dataclass(frozen=True, slots=True)
class ClusterFacts:
    """The responses of all nodes, and the nodes that did not respond."""

    responses: Sequence[FactsResponse]
    unresponsive: Sequence[NodeId]


class ClusterQueries:
    """Requests facts (node status, workers, programs) from every node and merges the responses."""

    def __init__(
        self,
        membership: MembershipView,
        locate: LocateTree,
        peers: PeerPort | None,
        local: LocalFacts,
    ) -> None:
        """Query the members over `peers`, and register handlers for the queries of other nodes."""
        self._membership = membership
        self._locate = locate
        self._peers = peers
        self._local = local
        if peers is not None:
            peers.handle(FACTS_METHOD, self._serve_facts)
            peers.handle(PROGRAM_METHOD, self._serve_program)

    async def nodes(self) -> Sequence[NodeStatus]:
        """Return the status of every known member, with its own report if it responded."""
        facts = await self._query_all(FactsRequest())
        reported = {response.node.node: response.node for response in facts.responses}
        return [_merge_status(member, reported.get(member.node)) for member in self._members()]

    async def workers(self) -> ListWorkersResponse:
        """Return the workers of all coordinators, sorted by name."""
        facts = await self._query_all(FactsRequest(workers=True))
        found = [worker for response in facts.responses for worker in response.workers]
        found.sort(key=lambda worker: worker.worker)
        return ListWorkersResponse(workers=found, silent_nodes=facts.unresponsive)

    async def programs(self, request: ListProgramsRequest) -> ListProgramsResponse:
        """Return the matching programs, newest first."""
        limit = _limit(request)
        facts = await self._query_all(FactsRequest(programs=request))
        found = [program for response in facts.responses for program in response.programs]
        found.sort(key=lambda program: (-program.created_at_seconds, program.program_id))
        more = len(found) > limit or any(response.more_programs for response in facts.responses)
        return ListProgramsResponse(
            programs=found[:limit], silent_nodes=facts.unresponsive, more=more
        )

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program from the node that serves it, else from this node or the store."""
        located = await self._locate(root_of(program_id))
        if isinstance(located, Refused):
            return located
        address = parse_address(located.address) if isinstance(located, OwnedElsewhere) else None
        if address is not None and self._peers is not None:
            response = await self._peers.call(
                address, PROGRAM_METHOD, program_id.encode(), REQUEST_TIMEOUT_SECONDS
            )
            if not isinstance(response, Refused):
                return ProgramDetail.FromString(response)
        return await self._local.programs.program(program_id)

    def _members(self) -> list[Member]:
        return sorted(self._membership.members(), key=lambda member: member.node)

    async def _query_all(self, request: FactsRequest) -> ClusterFacts:
        this_node = self._membership.this_member().node
        others = [m for m in self._members() if m.node != this_node and m.state in QUERIED_STATES]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        payload = request.SerializeToString()
        responses = await asyncio.gather(*(self._query_node(m, payload, semaphore) for m in others))
        unresponsive = [
            m.node for m, response in zip(others, responses, strict=True) if response is None
        ]
        received = [response for response in responses if response is not None]
        return ClusterFacts([self._local_facts(request), *received], unresponsive)

    async def _query_node(
        self, member: Member, payload: bytes, semaphore: asyncio.Semaphore
    ) -> FactsResponse | None:
        if self._peers is None:
            return None
        async with semaphore:
            response = await self._peers.call(
                member.address, FACTS_METHOD, payload, REQUEST_TIMEOUT_SECONDS
            )
        return None if isinstance(response, Refused) else FactsResponse.FromString(response)

    def _local_facts(self, request: FactsRequest) -> FactsResponse:
        response = FactsResponse(node=self._local.node.status())
        if request.workers:
            response.workers.extend(self._local.workers.workers())
        if request.HasField("programs"):
            limit = _limit(request.programs)
            found = self._local.programs.programs(request.programs)
            response.programs.extend(found[:limit])
            response.more_programs = len(found) > limit
        return response

    async def _serve_facts(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        return self._local_facts(FactsRequest.FromString(payload)).SerializeToString()

    async def _serve_program(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        detail = await self._local.programs.program(ProgramId(payload.decode()))
        return detail if isinstance(detail, Refused) else detail.SerializeToString()


def _limit(request: ListProgramsRequest) -> int:
    return min(request.limit or DEFAULT_PROGRAM_LIMIT, MAX_PROGRAM_LIMIT)


def _merge_status(member: Member, reported: NodeStatus | None) -> NodeStatus:
    """Return a node's own report, with the membership fields as this node sees them."""
    status = NodeStatus()
    if reported is not None:
        status.CopyFrom(reported)
        status.answered = True
    status.node = member.node
    status.address = str(member.address)
    status.zone = member.zone
    status.region = member.region
    status.state = member.state.value
    status.incarnation = member.incarnation
    return status
