"""Assignment of workers to coordinators.

Every node runs one `CoordinatorAssignment` on the same inputs: the live members, the configured
workers and the holders received by gossip. Rendezvous hashing selects the preferred node of each
resource, first among the members in the resource's zone, then in the rest of the region. A dead
holder is replaced immediately. A live holder releases a resource itself, and only after another
node has been preferred continuously for `HANDOVER_DELAY_SECONDS`, so a flapping member causes no
handover.

Two nodes may claim a resource at the same time. The epoch resolves the conflict: the engine
rejects requests with the lower one.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

import xxhash

from foxwinch.identifiers import Epoch, NodeId, RegionName, ZoneName

HANDOVER_DELAY_SECONDS = 5.0
"""Time for which another node must be preferred before a live holder hands over. It exceeds the
time to suspect a member and refute the suspicion, so a false suspicion causes no handover."""
SETTLING_SECONDS = 1.0
"""Delay after start before the first claim, in which the node receives the current holders."""
MAX_SETTLING_SECONDS = 5.0
"""Limit of this delay while digests of live members are missing; gossip takes about a second."""
CLAIM_RETRY_SECONDS = 0.5
"""Delay before a rejected claim is retried."""
NO_EPOCH = Epoch(0)
"""Lower than every assigned epoch."""


class CoordinatorState(StrEnum):
    """State of a resource on this node."""

    UNASSIGNED = "unassigned"
    """Held by another node or by none."""
    CLAIMING = "claiming"
    """This node is requesting a new epoch."""
    RESYNCING = "resyncing"
    """Held, without grants until the worker's load and cache have been read."""
    SERVING = "serving"
    """Held, with grants being issued."""
    RELEASING = "releasing"
    """Held without new grants; granted calls continue and the next holder may claim."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A live node that is eligible as a coordinator."""

    node: NodeId
    zone: ZoneName
    region: RegionName


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource managed by exactly one node: a worker, or the model orders of a region."""

    name: str
    """Name under which the epoch is stored, such as `worker/llm-1`."""
    zone: ZoneName | None
    """Zone whose members are preferred, or None for no preference."""


@dataclass(frozen=True, slots=True)
class Holder:
    """A node that holds a resource according to its gossip digest."""

    node: NodeId
    epoch: Epoch
    releasing: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """Increment the epoch of the resource, then report `claimed` or `refused`."""

    resource: str


@dataclass(frozen=True, slots=True)
class Resync:
    """Read the load and cache state of the worker, then report `resynced`."""

    resource: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Release:
    """Stop issuing grants, hand the resource over, then report `released`."""

    resource: str
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Lost:
    """Drop the resource immediately because a higher epoch exists."""

    resource: str
    epoch: Epoch


AssignmentAction = Claim | Resync | Release | Lost


def preferred_node(
    resource: Resource, candidates: Iterable[Candidate], region: RegionName
) -> NodeId | None:
    """Return the node that should hold `resource`, or None if the region has no candidate."""
    local = [c for c in candidates if c.region == region]
    same_zone = [c for c in local if resource.zone is not None and c.zone == resource.zone]
    best = max(same_zone or local, key=lambda c: _weight(resource.name, c.node), default=None)
    return None if best is None else best.node


def _weight(resource: str, node: NodeId) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{resource}|{node}".encode()), node


@dataclass(slots=True)
class _Status:
    state: CoordinatorState = CoordinatorState.UNASSIGNED
    epoch: Epoch = NO_EPOCH
    """Highest known epoch of the resource, including those of this node."""
    other_preferred_since: float | None = None
    """Time since which another node has been preferred continuously."""
    retry_at: float = 0.0


class CoordinatorAssignment:
    """State machine of the resources on one node.

    Call `advance` after every change and at least once per second.
    """

    def __init__(self, node: NodeId, region: RegionName, started_at: float) -> None:
        self._node = node
        self._region = region
        self._started_at = started_at
        self._resources: dict[str, Resource] = {}
        self._statuses: dict[str, _Status] = {}
        self._candidates: tuple[Candidate, ...] = ()
        self._preferred: dict[str, NodeId | None] = {}
        """Cached until resources or candidates change: hashing all of them takes milliseconds."""
        self._holders: Mapping[str, Holder] = {}
        self._has_missing_digests = False
        self._epochs: Mapping[str, Epoch] = {}
        self._draining = False

    def state(self, resource: str) -> CoordinatorState:
        """Return the state of a resource on this node."""
        status = self._statuses.get(resource)
        return CoordinatorState.UNASSIGNED if status is None else status.state

    def held(self) -> dict[str, Epoch]:
        """Return the epochs of the resources that this node holds, by resource name."""
        owned = (CoordinatorState.RESYNCING, CoordinatorState.SERVING, CoordinatorState.RELEASING)
        return {name: h.epoch for name, h in self._statuses.items() if h.state in owned}

    def update_resources(self, resources: Iterable[Resource]) -> None:
        """Replace the configured resources."""
        found = {resource.name: resource for resource in resources}
        if found != self._resources:
            self._resources = found
            self._preferred.clear()

    def update_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates: members that are alive or suspected, but not leaving."""
        found = tuple(candidates)
        if found != self._candidates:
            self._candidates = found
            self._preferred.clear()

    def update_holders(self, holders: Mapping[str, Holder]) -> None:
        """Replace the known holders, which are live nodes including leaving ones."""
        self._holders = holders

    def update_epochs(self, epochs: Mapping[str, Epoch]) -> None:
        """Replace the highest known epoch of each resource, including epochs of dead nodes."""
        self._epochs = epochs

    def update_missing_digests(self, has_missing_digests: bool) -> None:
        """Set whether the digest of a live member has not arrived yet."""
        self._has_missing_digests = has_missing_digests

    def drain(self) -> None:
        """Release every resource on the next `advance` and stop claiming."""
        self._draining = True

    def claimed(self, resource: str, epoch: Epoch) -> list[AssignmentAction]:
        """Handle a successful claim by this node under `epoch`."""
        status = self._statuses.setdefault(resource, _Status())
        if status.state is not CoordinatorState.CLAIMING or epoch <= status.epoch:
            status.state = CoordinatorState.UNASSIGNED
            return []
        status.state, status.epoch, status.other_preferred_since = (
            CoordinatorState.RESYNCING,
            epoch,
            None,
        )
        return [Resync(resource, epoch)]

    def refused(self, resource: str, now: float) -> None:
        """Handle a failed claim, which is retried after `CLAIM_RETRY_SECONDS`."""
        status = self._statuses.setdefault(resource, _Status())
        if status.state is CoordinatorState.CLAIMING:
            status.state = CoordinatorState.UNASSIGNED
            status.retry_at = now + CLAIM_RETRY_SECONDS

    def resynced(self, resource: str, epoch: Epoch) -> None:
        """Start serving a resource whose load and cache state have been read."""
        status = self._statuses.get(resource)
        if status and status.state is CoordinatorState.RESYNCING and status.epoch == epoch:
            status.state = CoordinatorState.SERVING

    def released(self, resource: str, epoch: Epoch) -> None:
        """Handle the completion of a handover."""
        status = self._statuses.get(resource)
        if status and status.state is CoordinatorState.RELEASING and status.epoch == epoch:
            status.state = CoordinatorState.UNASSIGNED

    def fenced(self, resource: str, epoch: Epoch) -> list[AssignmentAction]:
        """Handle an epoch observed in gossip or in a rejection by the engine."""
        status = self._statuses.get(resource)
        if status is None or epoch <= status.epoch:
            return []
        was_held = resource in self.held()
        lost_epoch, status.epoch = status.epoch, epoch
        status.state, status.other_preferred_since = CoordinatorState.UNASSIGNED, None
        return [Lost(resource, lost_epoch)] if was_held else []

    def advance(self, now: float) -> list[AssignmentAction]:
        """Return the actions that are due for all resources."""
        actions: list[AssignmentAction] = []
        for name in sorted(set(self._resources) | set(self._statuses)):
            status = self._statuses.setdefault(name, _Status())
            actions += self.fenced(name, self._epochs.get(name, NO_EPOCH))
            actions += self._decide(name, status, now)
        return actions

    def _decide(self, name: str, status: _Status, now: float) -> list[AssignmentAction]:
        if status.state is CoordinatorState.UNASSIGNED:
            return self._maybe_claim(name, status, now)
        if status.state in (CoordinatorState.SERVING, CoordinatorState.RESYNCING):
            return self._maybe_release(name, status, now)
        if status.state is CoordinatorState.RELEASING:
            return self._maybe_reclaim(name, status)
        return []

    def _maybe_reclaim(self, name: str, status: _Status) -> list[AssignmentAction]:
        """Abort the handover for a new claim when this node is preferred again."""
        resource = self._resources.get(name)
        if resource is None or self._draining:
            return []
        if self._preferred_node(resource) != self._node:
            return []
        status.state = CoordinatorState.UNASSIGNED
        return [Lost(name, status.epoch)]

    def _maybe_claim(self, name: str, status: _Status, now: float) -> list[AssignmentAction]:
        resource = self._resources.get(name)
        if resource is None or self._draining or now < status.retry_at or self._is_settling(now):
            return []
        if self._preferred_node(resource) != self._node:
            return []
        holder = self._holders.get(name)
        if holder and holder.node != self._node and not holder.releasing:
            return []
        status.state = CoordinatorState.CLAIMING
        return [Claim(name)]

    def _preferred_node(self, resource: Resource) -> NodeId | None:
        if resource.name not in self._preferred:
            chosen = preferred_node(resource, self._candidates, self._region)
            self._preferred[resource.name] = chosen
        return self._preferred[resource.name]

    def _is_settling(self, now: float) -> bool:
        seconds = MAX_SETTLING_SECONDS if self._has_missing_digests else SETTLING_SECONDS
        return now < self._started_at + seconds

    def _maybe_release(self, name: str, status: _Status, now: float) -> list[AssignmentAction]:
        resource = self._resources.get(name)
        if resource is None or self._draining:
            status.state = CoordinatorState.RELEASING
            return [Release(name, status.epoch)]
        preferred = self._preferred_node(resource)
        if preferred in (self._node, None):
            status.other_preferred_since = None
            return []
        if status.other_preferred_since is None:
            status.other_preferred_since = now
        if now - status.other_preferred_since < HANDOVER_DELAY_SECONDS:
            return []
        status.state = CoordinatorState.RELEASING
        return [Release(name, status.epoch)]
