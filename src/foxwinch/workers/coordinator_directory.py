"""Directory of the coordinators, their workers and their load, based on gossiped digests."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from foxwinch._generated.steward_pb2 import HeldResource, StewardDigest
from foxwinch.core.coordinator.assignment import Candidate, Holder
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import Epoch, ModelName, NodeId, WorkerId
from foxwinch.membership.ports import GossipView, MembershipView

WORKER_PREFIX = "worker/"
"""Prefix of the resource names of workers."""
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
"""States in which a member may hold workers and answer requests."""
ASSIGNABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
"""States in which workers may be assigned to a member, which may refute a suspicion."""


def worker_resource(worker: str) -> str:
    """Return the resource name of a worker, under which its epoch is stored."""
    return f"{WORKER_PREFIX}{worker}"


def resource_worker(resource: str) -> WorkerId | None:
    """Return the worker of a resource name, or None for another kind of resource."""
    if not resource.startswith(WORKER_PREFIX):
        return None
    return WorkerId(resource.removeprefix(WORKER_PREFIX))


@dataclass(frozen=True, slots=True)
class ServingCoordinator:
    """A coordinator that can grant calls for a model."""

    member: Member
    workers: int
    """Number of its workers that serve the model and are not leaving."""
    queued: int
    predicted_wait_seconds: float
    hot_prefixes: frozenset[int]


class CoordinatorDirectory:
    """Queries on membership and gossiped digests, whose decoded form is cached."""

    def __init__(self, membership: MembershipView, gossip: GossipView) -> None:
        self._membership = membership
        self._gossip = gossip
        self._decoded: dict[str, tuple[int, StewardDigest]] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change of members or digests."""
        self._membership.subscribe(lambda member: listener())
        self._gossip.subscribe(GossipKind.COORDINATOR, lambda entry: listener())

    def member(self, node: NodeId) -> Member | None:
        """Return a member that may answer requests, or None if there is none for `node`."""
        return self._present().get(node)

    def present(self) -> set[NodeId]:
        """Return the nodes of the members that may answer requests."""
        return set(self._present())

    def candidates(self) -> list[Candidate]:
        """Return the members that are eligible as coordinators."""
        draining = {member.node for member, digest in self._digests() if digest.draining}
        return [
            Candidate(member.node, member.zone, member.region)
            for member in self._membership.members()
            if member.state in ASSIGNABLE_STATES and member.node not in draining
        ]

    def holders(self) -> dict[str, Holder]:
        """Return the holder of every resource, which is the claimant with the highest epoch."""
        found: dict[str, Holder] = {}
        for member, digest in self._digests():
            for held in digest.held:
                known = found.get(held.name)
                if known is None or known.epoch < held.epoch:
                    found[held.name] = Holder(member.node, Epoch(held.epoch), held.releasing)
        return found

    def epochs(self) -> dict[str, Epoch]:
        """Return the highest known epoch of each resource, including epochs of dead nodes."""
        found: dict[str, Epoch] = {}
        for key, entry in self._gossip.entries(GossipKind.COORDINATOR).items():
            for held in self._decode(key, entry).held:
                found[held.name] = max(found.get(held.name, Epoch(0)), Epoch(held.epoch))
        return found

    def coordinator_of(self, worker: WorkerId) -> NodeId | None:
        """Return the node that holds a worker, even during a handover, or None if no node does."""
        holder = self.holders().get(worker_resource(worker))
        return None if holder is None else holder.node

    def serving(self, model: ModelName) -> list[ServingCoordinator]:
        """Return the coordinators with a worker that serves the model and is not leaving."""
        holders = self.holders()
        found: list[ServingCoordinator] = []
        for member, digest in self._digests():
            workers = sum(_serves(held, model, member, holders) for held in digest.held)
            if not workers:
                continue
            queue = next((q for q in digest.queues if q.model == model), None)
            found.append(
                ServingCoordinator(
                    member=member,
                    workers=workers,
                    queued=queue.queued if queue else 0,
                    predicted_wait_seconds=queue.predicted_wait_seconds if queue else 0.0,
                    hot_prefixes=frozenset(digest.hot_prefixes),
                )
            )
        return found

    def coordinators(self) -> set[NodeId]:
        """Return the nodes that hold any resource."""
        return {member.node for member, digest in self._digests() if digest.held}

    def has_missing_digests(self) -> bool:
        """Return whether the digest of a live member of this region has not arrived yet."""
        entries = self._gossip.entries(GossipKind.COORDINATOR)
        local_member = self._membership.this_member()
        return any(
            node not in entries
            for node, member in self._present().items()
            if node != local_member.node and member.region == local_member.region
        )

    def queued(self) -> dict[ModelName, int]:
        """Return the number of waiting calls of each model, summed over all coordinators."""
        found: dict[ModelName, int] = {}
        for _, digest in self._digests():
            for queue in digest.queues:
                model = ModelName(queue.model)
                found[model] = found.get(model, 0) + queue.queued
        return found

    def _present(self) -> dict[NodeId, Member]:
        members = self._membership.members()
        return {member.node: member for member in members if member.state in PRESENT_STATES}

    def _digests(self) -> Iterator[tuple[Member, StewardDigest]]:
        """Yield the digest of every member that may answer requests."""
        present = self._present()
        entries = self._gossip.entries(GossipKind.COORDINATOR)
        for node in self._decoded.keys() - entries.keys():
            del self._decoded[node]
        for key, entry in entries.items():
            member = present.get(NodeId(key))
            if member is not None:
                yield member, self._decode(key, entry)

    def _decode(self, key: str, entry: GossipEntry) -> StewardDigest:
        known = self._decoded.get(key)
        if known is not None and known[0] == entry.version:
            return known[1]
        digest = StewardDigest()
        try:
            digest.ParseFromString(entry.payload)
        except DecodeError:
            digest = StewardDigest()
        self._decoded[key] = (entry.version, digest)
        return digest


def _serves(
    held: HeldResource, model: ModelName, member: Member, holders: dict[str, Holder]
) -> bool:
    holder = holders.get(held.name)
    return (
        model in held.models
        and not held.releasing
        and not held.leaving
        and holder is not None
        and holder.node == member.node
    )
