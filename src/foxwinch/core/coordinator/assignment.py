"""Which node is the coordinator of which worker, and what each node does about it.

Every node runs one `CoordinatorAssignment` over the same inputs: the live members, the workers of
the configuration and the holders heard of by gossip. Rendezvous hashing names the preferred node of
each resource, members of the resource's own zone first, then the rest of its region. A dead holder
is replaced at once. A live holder gives a resource up itself, and only after another node has been
preferred without a break for `HANDOVER_SECONDS`: a member that flaps moves nothing.

Two nodes may claim at the same time; the epoch decides, and the engine refuses the lower one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

import xxhash

from foxwinch.identifiers import Epoch, NodeId, RegionName, ZoneName

HANDOVER_SECONDS = 5.0
"""For so long a better node must be preferred before a live holder hands over; longer than a
suspicion with its refutation, so that a suspected member that comes back has cost nothing."""
SETTLING_SECONDS = 1.0
"""After its start a node hears of the present holders before it claims anything unheld."""
MAX_SETTLING_SECONDS = 5.0
"""It waits so long for members that it has heard nothing of; gossip takes about a second."""
CLAIM_RETRY_SECONDS = 0.5
"""Pause after a refused claim."""
NO_EPOCH = Epoch(0)
"""Below every epoch that was ever raised."""


class CoordinatorState(StrEnum):
    """What this node is to a resource."""

    UNASSIGNED = "unassigned"
    """Another node's, or nobody's."""
    CLAIMING = "claiming"
    """This node asks for a new epoch."""
    RESYNCING = "resyncing"
    """Held; load and cache of the worker are being read. No grants yet."""
    SERVING = "serving"
    """Held; grants are given."""
    RELEASING = "releasing"
    """Held; no new grants, what was granted runs on, the next holder may claim."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live node that may be a coordinator."""

    node: NodeId
    zone: ZoneName
    region: RegionName


@dataclass(frozen=True, slots=True)
class Resource:
    """Something that exactly one node looks after: a worker, or the orders of a region."""

    name: str
    """Name of its epoch, such as `worker/llm-1`."""
    zone: ZoneName | None
    """Zone whose members are preferred; None when all zones are equal."""


@dataclass(frozen=True, slots=True)
class Holder:
    """A node that was heard to hold a resource."""

    node: NodeId
    epoch: Epoch
    releasing: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Raise the epoch of the resource, then report `claimed` or `refused`."""

    resource: str


@dataclass(frozen=True, slots=True)
class Resync:
    """Read load and cache of the worker, then report `resynced`."""

    resource: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Release:
    """Give no new grants, hand over, then report `released`."""

    resource: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Lost:
    """A higher epoch exists: forget the resource at once."""

    resource: str
    epoch: Epoch


AssignmentAction = Claim | Resync | Release | Lost


def preferred_node(
    resource: Resource, candidates: Iterable[Candidate], region: RegionName
) -> NodeId | None:
    """Return the node that should hold `resource`; None when the region has no candidate."""
    local = [c for c in candidates if c.region == region]
    near = [c for c in local if resource.zone is not None and c.zone == resource.zone]
    best = max(near or local, key=lambda c: _weight(resource.name, c.node), default=None)
    return None if best is None else best.node


def _weight(resource: str, node: NodeId) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{resource}|{node}".encode()), node


@dataclass(slots=True)
class _Held:
    state: CoordinatorState = CoordinatorState.UNASSIGNED
    epoch: Epoch = NO_EPOCH
    """Highest epoch known of the resource, this node's own included."""
    other_since: float | None = None
    """Since when another node has been preferred without a break."""
    retry_at: float = 0.0


class CoordinatorAssignment:
    """The resources of one node; `advance` is called at every change and at least each second."""

    def __init__(self, node: NodeId, region: RegionName, started_at: float) -> None:
        """Hold nothing."""
        self._node = node
        self._region = region
        self._started_at = started_at
        self._resources: dict[str, Resource] = {}
        self._held: dict[str, _Held] = {}
        self._candidates: tuple[Candidate, ...] = ()
        self._preferred: dict[str, NodeId | None] = {}
        """Kept until resources or candidates change: hashing them all costs milliseconds."""
        self._holders: Mapping[str, Holder] = {}
        self._unheard = False
        self._epochs: Mapping[str, Epoch] = {}
        self._draining = False

    def state(self, resource: str) -> CoordinatorState:
        """Return what this node is to a resource."""
        held = self._held.get(resource)
        return CoordinatorState.UNASSIGNED if held is None else held.state

    def held(self) -> dict[str, Epoch]:
        """Return the resources that this node holds, with their epochs."""
        owned = (CoordinatorState.RESYNCING, CoordinatorState.SERVING, CoordinatorState.RELEASING)
        return {name: h.epoch for name, h in self._held.items() if h.state in owned}

    def update_resources(self, resources: Iterable[Resource]) -> None:
        """Replace the set of resources, from the configuration."""
        found = {resource.name: resource for resource in resources}
        if found != self._resources:
            self._resources = found
            self._preferred.clear()

    def update_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the live members: alive and suspected ones, not leaving ones."""
        found = tuple(candidates)
        if found != self._candidates:
            self._candidates = found
            self._preferred.clear()

    def update_holders(self, holders: Mapping[str, Holder]) -> None:
        """Replace the holders heard of, live nodes only (a leaving one counts as live)."""
        self._holders = holders

    def update_epochs(self, epochs: Mapping[str, Epoch]) -> None:
        """Replace the highest epoch heard of each resource, from nodes that are dead included."""
        self._epochs = epochs

    def update_unheard(self, unheard: bool) -> None:
        """Tell whether there are live members whose holdings have not been heard."""
        self._unheard = unheard

    def drain(self) -> None:
        """Hand everything over and claim nothing more."""
        self._draining = True

    def claimed(self, resource: str, epoch: Epoch) -> list[AssignmentAction]:
        """Take note of a new epoch of this node's own."""
        held = self._held.setdefault(resource, _Held())
        if held.state is not CoordinatorState.CLAIMING or epoch <= held.epoch:
            held.state = CoordinatorState.UNASSIGNED
            return []
        held.state, held.epoch, held.other_since = CoordinatorState.RESYNCING, epoch, None
        return [Resync(resource, epoch)]

    def refused(self, resource: str, now: float) -> None:
        """Take note of a failed claim; it is tried again after `CLAIM_RETRY_SECONDS`."""
        held = self._held.setdefault(resource, _Held())
        if held.state is CoordinatorState.CLAIMING:
            held.state = CoordinatorState.UNASSIGNED
            held.retry_at = now + CLAIM_RETRY_SECONDS

    def resynced(self, resource: str, epoch: Epoch) -> None:
        """Take note that load and cache have been read: grants may be given."""
        held = self._held.get(resource)
        if held and held.state is CoordinatorState.RESYNCING and held.epoch == epoch:
            held.state = CoordinatorState.SERVING

    def released(self, resource: str, epoch: Epoch) -> None:
        """Take note that the handover is complete."""
        held = self._held.get(resource)
        if held and held.state is CoordinatorState.RELEASING and held.epoch == epoch:
            held.state = CoordinatorState.UNASSIGNED

    def fenced(self, resource: str, epoch: Epoch) -> list[AssignmentAction]:
        """Take note of an epoch seen elsewhere: in gossip, or in a refusal by the engine."""
        held = self._held.get(resource)
        if held is None or epoch <= held.epoch:
            return []
        was_held = resource in self.held()
        lost_epoch, held.epoch = held.epoch, epoch
        held.state, held.other_since = CoordinatorState.UNASSIGNED, None
        return [Lost(resource, lost_epoch)] if was_held else []

    def advance(self, now: float) -> list[AssignmentAction]:
        """Decide for every resource."""
        actions: list[AssignmentAction] = []
        for name in sorted(set(self._resources) | set(self._held)):
            held = self._held.setdefault(name, _Held())
            actions += self.fenced(name, self._epochs.get(name, NO_EPOCH))
            actions += self._decide(name, held, now)
        return actions

    def _decide(self, name: str, held: _Held, now: float) -> list[AssignmentAction]:
        if held.state is CoordinatorState.UNASSIGNED:
            return self._maybe_claim(name, held, now)
        if held.state in (CoordinatorState.SERVING, CoordinatorState.RESYNCING):
            return self._maybe_release(name, held, now)
        if held.state is CoordinatorState.RELEASING:
            return self._maybe_take_back(name, held)
        return []

    def _maybe_take_back(self, name: str, held: _Held) -> list[AssignmentAction]:
        """The node that was to follow is gone: end the handover, and claim anew."""
        resource = self._resources.get(name)
        if resource is None or self._draining:
            return []
        if self._preferred_node(resource) != self._node:
            return []
        held.state = CoordinatorState.UNASSIGNED
        return [Lost(name, held.epoch)]

    def _maybe_claim(self, name: str, held: _Held, now: float) -> list[AssignmentAction]:
        resource = self._resources.get(name)
        if resource is None or self._draining or now < held.retry_at or self._is_settling(now):
            return []
        if self._preferred_node(resource) != self._node:
            return []
        holder = self._holders.get(name)
        if holder and holder.node != self._node and not holder.releasing:
            return []
        held.state = CoordinatorState.CLAIMING
        return [Claim(name)]

    def _preferred_node(self, resource: Resource) -> NodeId | None:
        if resource.name not in self._preferred:
            chosen = preferred_node(resource, self._candidates, self._region)
            self._preferred[resource.name] = chosen
        return self._preferred[resource.name]

    def _is_settling(self, now: float) -> bool:
        seconds = MAX_SETTLING_SECONDS if self._unheard else SETTLING_SECONDS
        return now < self._started_at + seconds

    def _maybe_release(self, name: str, held: _Held, now: float) -> list[AssignmentAction]:
        resource = self._resources.get(name)
        if resource is None or self._draining:
            held.state = CoordinatorState.RELEASING
            return [Release(name, held.epoch)]
        preferred = self._preferred_node(resource)
        if preferred in (self._node, None):
            held.other_since = None
            return []
        if held.other_since is None:
            held.other_since = now
        if now - held.other_since < HANDOVER_SECONDS:
            return []
        held.state = CoordinatorState.RELEASING
        return [Release(name, held.epoch)]
