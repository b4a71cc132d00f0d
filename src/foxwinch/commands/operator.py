"""Operator commands, routed to the node that must execute them."""

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
COMMAND_TIMEOUT_SECONDS = 5.0
NOT_SERVING_REASONS = frozenset({Reason.PEER_UNREACHABLE, Reason.NOT_OWNER})
"""Refusals which show that the other node does not serve the program."""
log = EventLog("operator")


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command has been executed, or its execution has started."""


class ConfigurationChangePort(Protocol):
    """Changes of the cluster configuration."""

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Apply a document if `expected` is still the newest revision; else `CONFLICT`."""
        ...

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Return the configuration revision of each node."""
        ...


class WorkerDrainPort(Protocol):
    """Drains of workers."""

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Stop the dispatch of new calls to a worker, on all nodes of the region."""
        ...


class ProgramAbandonPort(Protocol):
    """Abandonment of programs that this node serves."""

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Abandon a program that this node serves and release its resources."""
        ...


class StaticConfiguration:
    """A configuration that is fixed for the lifetime of the process."""

    def __init__(self, node: NodeId, zone: ZoneName) -> None:
        """Report the fixed revision for this node."""
        revision = LocalConfiguration.REVISION
        self._row = NodeRevision(node, zone, MemberState.ALIVE, revision, revision, serving=True)

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Refuse, since there is no store for changes."""
        detail = "this node has no shared store, so its configuration cannot be changed"
        return not_run(Reason.STORE_UNAVAILABLE, detail)

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Return this node's revision."""
        return (self._row,)


class StaticWorkers:
    """Workers without a coordinator, which cannot be drained."""

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Refuse, since the workers have no coordinator."""
        return not_run(Reason.NOT_FOUND, f"worker {worker} has no coordinator here")


class NullAbandonPort:
    """A node that has no programs beyond single calls."""

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Refuse with `NOT_FOUND`."""
        return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")


@dataclass(frozen=True, slots=True)
class LocalCommands:
    """Commands that this node executes itself."""

    drain_node: Callable[[], None]
    """Starts to drain this node; idempotent."""
    configuration: ConfigurationChangePort
    workers: WorkerDrainPort
    programs: ProgramAbandonPort


class OperatorCommands:
    """Executes operator commands on this node or forwards them to another one."""

    def __init__(
        self,
        membership: MembershipView,
        locate: LocateTree,
        peers: PeerPort | None,
        local: LocalCommands,
    ) -> None:
        """Forward over `peers`, and register handlers for commands forwarded by other nodes."""
        self._membership = membership
        self._locate = locate
        self._peers = peers
        self._local = local
        if peers is not None:
            peers.handle(DRAIN_METHOD, self._serve_drain)
            peers.handle(ABANDON_METHOD, self._serve_abandon)

    async def drain_node(self, node: NodeId) -> Accepted | Refused:
        """Start to drain a node, either this one or another."""
        if node == self._membership.this_member().node:
            return self._drain_this_node()
        for member in self._membership.members():
            if member.node == node:
                return await self._forward_command(member.address, DRAIN_METHOD, node.encode())
        return not_run(Reason.NOT_FOUND, f"node {node} is not a member")

    async def drain_worker(self, worker: WorkerId) -> Accepted | Refused:
        """Stop the dispatch of new calls to a worker."""
        log.info("worker_drain_asked", worker=worker)
        return await self._local.workers.drain_worker(worker)

    async def abandon_program(self, program_id: ProgramId) -> Accepted | Refused:
        """Abandon a program on the node that serves it, or here if that node no longer does."""
        root = root_of(program_id)
        located = await self._locate(root)
        if isinstance(located, Refused):
            return located
        if isinstance(located, OwnedElsewhere):
            answer = await self._abandon_remotely(located, program_id)
            if not isinstance(answer, Refused) or answer.reason not in NOT_SERVING_REASONS:
                return answer
            await self._locate(root, located.node)
        log.info("program_abandon_asked", program=program_id)
        return await self._local.programs.abandon(program_id)

    async def apply_configuration(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Apply a validated document if `expected` is still the newest revision."""
        return await self._local.configuration.apply(command)

    async def _abandon_remotely(
        self, owner: OwnedElsewhere, program_id: ProgramId
    ) -> Accepted | Refused:
        address = parse_address(owner.address)
        if address is None:
            return not_run(Reason.PEER_UNREACHABLE, "the other node has no peer address")
        return await self._forward_command(address, ABANDON_METHOD, program_id.encode())

    def _drain_this_node(self) -> Accepted:
        log.info("node_drain_asked", node=self._membership.this_member().node)
        self._local.drain_node()
        return Accepted()

    async def _forward_command(
        self, address: PeerAddress, method: str, payload: bytes
    ) -> Accepted | Refused:
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer connections")
        answer = await self._peers.call(address, method, payload, COMMAND_TIMEOUT_SECONDS)
        return answer if isinstance(answer, Refused) else Accepted()

    async def _serve_drain(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        this_node = self._membership.this_member().node
        if payload.decode() != this_node:
            return not_run(Reason.NOT_FOUND, f"this address now belongs to node {this_node}")
        self._drain_this_node()
        return b""

    async def _serve_abandon(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        outcome = await self._local.programs.abandon(ProgramId(payload.decode()))
        return outcome if isinstance(outcome, Refused) else b""
