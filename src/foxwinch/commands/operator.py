"""The operators' commands, passed on to the node that each concerns."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from foxwinch.commands.apply_configuration import ApplyConfiguration
from foxwinch.commands.ports import LocateTree
from foxwinch.configuration.local import LocalConfiguration
from foxwinch.core.configuration.change import ChangeAccepted
from foxwinch.core.membership.member import MemberState
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import NodeId, ProgramId, WorkerId, ZoneName
from foxwinch.log import EventLog
from foxwinch.membership.ports import MembershipView
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerAddress, PeerContext, PeerPort, parse_address
from foxwinch.queries.configuration import NodeRevision
from foxwinch.records.program_trees import OwnedElsewhere

DRAIN_METHOD = "operator.drain"
ABANDON_METHOD = "operator.abandon"
COMMAND_SECONDS = 5.0
GONE = frozenset({Reason.PEER_UNREACHABLE, Reason.NOT_OWNER})
"""Refusals after which the node that was asked does not serve the program."""
log = EventLog("operator")


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command is in force."""


class ConfigurationChangePort(Protocol):
    """Changes of the cluster configuration."""

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Put a document in force if `expected` is still the newest; `CONFLICT` names the newer."""
        ...

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Return the revision at each node."""
        ...


class WorkerDrains(Protocol):
    """Workers that operators take out of service."""

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Give the worker no new work from any node of the region."""
        ...


class ProgramAbandonPort(Protocol):
    """Programs of this node that operators abandon."""

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Abandon a program that this node serves and release what it holds."""
        ...


class StaticConfiguration:
    """A configuration that cannot be changed while the process runs."""

    def __init__(self, node: NodeId, zone: ZoneName) -> None:
        """Stand for the fixed revision at this node."""
        revision = LocalConfiguration.REVISION
        self._row = NodeRevision(node, zone, MemberState.ALIVE, revision, revision, serving=True)

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Refuse: there is no store to keep a change."""
        detail = "this node runs without a shared store, which keeps the configuration"
        return not_run(Reason.STORE_UNAVAILABLE, detail)

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Return this node's revision."""
        return (self._row,)


class StaticWorkers:
    """Workers that cannot be drained."""

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Refuse: no node coordinates the workers."""
        return not_run(Reason.NOT_FOUND, f"worker {worker} has no steward here")


class NoAbandons:
    """A node that keeps no programs beyond their call."""

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Refuse: not found."""
        return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")


@dataclass(frozen=True, slots=True)
class LocalCommands:
    """What this node carries out itself."""

    drain_node: Callable[[], None]
    """Begins the planned stop of this node; harmless when it has begun."""
    configuration: ConfigurationChangePort
    workers: WorkerDrains
    programs: ProgramAbandonPort


class OperatorCommands:
    """Carries commands out here or at the node they concern."""

    def __init__(
        self,
        membership: MembershipView,
        locate: LocateTree,
        peers: PeerPort | None,
        local: LocalCommands,
    ) -> None:
        """Pass on by `peers`; registers the handlers by which fellow nodes pass on to this one."""
        self._membership = membership
        self._locate = locate
        self._peers = peers
        self._local = local
        if peers is not None:
            peers.handle(DRAIN_METHOD, self._serve_drain)
            peers.handle(ABANDON_METHOD, self._serve_abandon)

    async def drain_node(self, node: NodeId) -> Accepted | Refused:
        """Begin the planned stop of a node, this one or another."""
        if node == self._membership.this_member().node:
            return self._drain_this_node()
        for member in self._membership.members():
            if member.node == node:
                return await self._pass_on(member.address, DRAIN_METHOD, node.encode())
        return not_run(Reason.NOT_FOUND, f"node {node} is not a member")

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Give a worker no new work."""
        log.info("worker_drain_asked", worker=worker)
        return await self._local.workers.drain_worker(worker)

    async def abandon_program(self, program_id: ProgramId) -> Accepted | Refused:
        """Abandon a program at the node that serves it, or here when that one is gone."""
        root = root_of(program_id)
        located = await self._locate(root)
        if isinstance(located, Refused):
            return located
        if isinstance(located, OwnedElsewhere):
            answer = await self._abandon_at(located, program_id)
            if not isinstance(answer, Refused) or answer.reason not in GONE:
                return answer
            await self._locate(root, located.node)
        log.info("program_abandon_asked", program=program_id)
        return await self._local.programs.abandon(program_id)

    async def apply_configuration(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Put a checked document in force if `expected` is still the newest revision."""
        return await self._local.configuration.apply(command)

    async def _abandon_at(
        self, served: OwnedElsewhere, program_id: ProgramId
    ) -> Accepted | Refused:
        address = parse_address(served.address)
        if address is None:
            return not_run(Reason.PEER_UNREACHABLE, "the other node has no peer side")
        return await self._pass_on(address, ABANDON_METHOD, program_id.encode())

    def _drain_this_node(self) -> Accepted:
        log.info("node_drain_asked", node=self._membership.this_member().node)
        self._local.drain_node()
        return Accepted()

    async def _pass_on(
        self, address: PeerAddress, method: str, payload: bytes
    ) -> Accepted | Refused:
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer side")
        answer = await self._peers.call(address, method, payload, COMMAND_SECONDS)
        return answer if isinstance(answer, Refused) else Accepted()

    async def _serve_drain(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        this = self._membership.this_member().node
        if payload.decode() != this:
            return not_run(Reason.NOT_FOUND, f"this address is node {this} now")
        self._drain_this_node()
        return b""

    async def _serve_abandon(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        outcome = await self._local.programs.abandon(ProgramId(payload.decode()))
        return outcome if isinstance(outcome, Refused) else b""
