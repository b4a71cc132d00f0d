"""The operators' queries over all nodes of the region, asked of any one node."""

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
FACTS_SECONDS = 2.0
"""A node that does not answer within this is named as silent; far above a region's round trip."""
NODES_AT_ONCE = 32
"""Nodes asked side by side, so that a query over hundreds of nodes causes no burst."""
DEFAULT_PROGRAMS = 100
MAX_PROGRAMS = 1_000
ASKED_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


@dataclass(frozen=True, slots=True)
class LocalFacts:
    """What this node reports of itself."""

    node: NodeFacts
    workers: WorkerFacts
    programs: ProgramFacts


@dataclass(frozen=True, slots=True)
class ClusterFacts:
    """The answers of all nodes, and the nodes that did not answer."""

    answers: Sequence[FactsResponse]
    silent: Sequence[NodeId]


class ClusterQueries:
    """Asks every node for its facts and puts the answers together."""

    def __init__(
        self,
        membership: MembershipView,
        locate: LocateTree,
        peers: PeerPort | None,
        local: LocalFacts,
    ) -> None:
        """Ask the members by `peers`; registers the handlers by which fellow nodes ask."""
        self._membership = membership
        self._locate = locate
        self._peers = peers
        self._local = local
        if peers is not None:
            peers.handle(FACTS_METHOD, self._serve_facts)
            peers.handle(PROGRAM_METHOD, self._serve_program)

    async def nodes(self) -> Sequence[NodeStatus]:
        """Return every known member, those that answered with their own status."""
        facts = await self._ask_all(FactsRequest())
        answered = {answer.node.node: answer.node for answer in facts.answers}
        return [_merged(member, answered.get(member.node)) for member in self._members()]

    async def workers(self) -> ListWorkersResponse:
        """Return the workers of all coordinators in order of their names."""
        facts = await self._ask_all(FactsRequest(workers=True))
        found = [worker for answer in facts.answers for worker in answer.workers]
        found.sort(key=lambda worker: worker.worker)
        return ListWorkersResponse(workers=found, silent_nodes=facts.silent)

    async def programs(self, request: ListProgramsRequest) -> ListProgramsResponse:
        """Return programs that match, the newest first."""
        limit = _limit(request)
        facts = await self._ask_all(FactsRequest(programs=request))
        found = [program for answer in facts.answers for program in answer.programs]
        found.sort(key=lambda program: (-program.created_at_seconds, program.program_id))
        more = len(found) > limit or any(answer.more_programs for answer in facts.answers)
        return ListProgramsResponse(programs=found[:limit], silent_nodes=facts.silent, more=more)

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program, asked of the node that serves it, or as the store has it."""
        located = await self._locate(root_of(program_id))
        if isinstance(located, Refused):
            return located
        address = parse_address(located.address) if isinstance(located, OwnedElsewhere) else None
        if address is not None and self._peers is not None:
            answer = await self._peers.call(
                address, PROGRAM_METHOD, program_id.encode(), FACTS_SECONDS
            )
            if not isinstance(answer, Refused):
                return ProgramDetail.FromString(answer)
        return await self._local.programs.program(program_id)

    def _members(self) -> list[Member]:
        return sorted(self._membership.members(), key=lambda member: member.node)

    async def _ask_all(self, request: FactsRequest) -> ClusterFacts:
        this = self._membership.this_member().node
        others = [m for m in self._members() if m.node != this and m.state in ASKED_STATES]
        room = asyncio.Semaphore(NODES_AT_ONCE)
        payload = request.SerializeToString()
        answers = await asyncio.gather(*(self._ask(m, payload, room) for m in others))
        silent = [m.node for m, answer in zip(others, answers, strict=True) if answer is None]
        heard = [answer for answer in answers if answer is not None]
        return ClusterFacts([self._facts(request), *heard], silent)

    async def _ask(
        self, member: Member, payload: bytes, room: asyncio.Semaphore
    ) -> FactsResponse | None:
        if self._peers is None:
            return None
        async with room:
            answer = await self._peers.call(member.address, FACTS_METHOD, payload, FACTS_SECONDS)
        return None if isinstance(answer, Refused) else FactsResponse.FromString(answer)

    def _facts(self, request: FactsRequest) -> FactsResponse:
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
        return self._facts(FactsRequest.FromString(payload)).SerializeToString()

    async def _serve_program(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        detail = await self._local.programs.program(ProgramId(payload.decode()))
        return detail if isinstance(detail, Refused) else detail.SerializeToString()


def _limit(request: ListProgramsRequest) -> int:
    return min(request.limit or DEFAULT_PROGRAMS, MAX_PROGRAMS)


def _merged(member: Member, answered: NodeStatus | None) -> NodeStatus:
    """Return the member as this node sees it, with what the node says of itself."""
    status = NodeStatus()
    if answered is not None:
        status.CopyFrom(answered)
        status.answered = True
    status.node = member.node
    status.address = str(member.address)
    status.zone = member.zone
    status.region = member.region
    status.state = member.state.value
    status.incarnation = member.incarnation
    return status
