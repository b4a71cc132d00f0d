"""Who serves which worker and how busy it is, from the digests that coordinators gossip."""

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
"""Prefix of the epoch resources of workers."""
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
"""States in which a member may still hold workers and answer."""
ASSIGNABLE = (MemberState.ALIVE, MemberState.SUSPECT)
"""States in which a member may be given workers; a suspected one may yet refute."""


def worker_resource(worker: str) -> str:
    """Return the name under which a worker's epoch is kept."""
    return f"{WORKER_PREFIX}{worker}"


def resource_worker(resource: str) -> WorkerId | None:
    """Return the worker of an epoch resource, or None for another kind of resource."""
    if not resource.startswith(WORKER_PREFIX):
        return None
    return WorkerId(resource.removeprefix(WORKER_PREFIX))


@dataclass(frozen=True, slots=True)
class ServingCoordinator:
    """A coordinator that can grant calls of a model."""

    member: Member
    workers: int
    """Its workers that serve the model and are not leaving."""
    queued: int
    predicted_wait_seconds: float
    hot_prefixes: frozenset[int]


class CoordinatorDirectory:
    """Queries over membership and the gossiped digests; holds only decoded copies."""

    def __init__(self, membership: MembershipView, gossip: GossipView) -> None:
        """Read from this node's views."""
        self._membership = membership
        self._gossip = gossip
        self._decoded: dict[str, tuple[int, StewardDigest]] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` at every change of members or digests."""
        self._membership.subscribe(lambda member: listener())
        self._gossip.subscribe(GossipKind.COORDINATOR, lambda entry: listener())

    def member(self, node: NodeId) -> Member | None:
        """Return a member that may still answer."""
        return self._present().get(node)

    def present(self) -> set[NodeId]:
        """Return the members that may still answer."""
        return set(self._present())

    def candidates(self) -> list[Candidate]:
        """Return the members that may be given workers."""
        draining = {member.node for member, digest in self._digests() if digest.draining}
        return [
            Candidate(member.node, member.zone, member.region)
            for member in self._membership.members()
            if member.state in ASSIGNABLE and member.node not in draining
        ]

    def holders(self) -> dict[str, Holder]:
        """Return the holder of every resource, the highest epoch where several say they hold it."""
        found: dict[str, Holder] = {}
        for member, digest in self._digests():
            for held in digest.held:
                known = found.get(held.name)
                if known is None or known.epoch < held.epoch:
                    found[held.name] = Holder(member.node, Epoch(held.epoch), held.releasing)
        return found

    def epochs(self) -> dict[str, Epoch]:
        """Return the highest epoch heard of each resource, from nodes that are dead included."""
        found: dict[str, Epoch] = {}
        for key, entry in self._gossip.entries(GossipKind.COORDINATOR).items():
            for held in self._decode(key, entry).held:
                found[held.name] = max(found.get(held.name, Epoch(0)), Epoch(held.epoch))
        return found

    def coordinator_of(self, worker: WorkerId) -> NodeId | None:
        """Return the node that holds a worker, handing it over included."""
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
        """Return the members that hold something."""
        return {member.node for member, digest in self._digests() if digest.held}

    def unheard(self) -> bool:
        """Tell whether there is a live member whose digest has not arrived."""
        entries = self._gossip.entries(GossipKind.COORDINATOR)
        this = self._membership.this_member()
        return any(
            node not in entries
            for node, member in self._present().items()
            if node != this.node and member.region == this.region
        )

    def queued(self) -> dict[ModelName, int]:
        """Return the number of waiting calls of each model over all coordinators."""
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
        """Yield the digest of every member that may still answer."""
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
