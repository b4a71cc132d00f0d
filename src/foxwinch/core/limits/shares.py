"""Share of each limit that this node may use, computed from the demand published by all nodes.

The share of node i is w_i / (w_1 + ... + w_n), where w is the published demand plus a small prior
that is the same for every node. For itself a node uses the lowest demand that it published during
the last `PROPAGATION_SECONDS`, and for the others the newest that it has received. An increase thus
takes effect only once all nodes know of it, and a decrease immediately. While digests arrive within
that time, the demand that a node counts for another one is at least what that node uses, so the
shares of all nodes add up to at most one.

The weight of a dead node passes to the others after `LEASE_SECONDS`, and only at nodes that see a
majority of those seen during `BASELINE_SECONDS`. The remaining nodes are isolated: their shares may
decrease but not increase. A node that was isolated, or paused for longer than its lease, restarts
like a new one.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxwinch.core.limits.usage import UsageDigest
from foxwinch.identifiers import NodeId

PRIOR_WEIGHT = 0.1
"""Sum of the priors of all nodes. The share of an idle tenant is 1/n at every node, and a tenant
that is busy at one node only gets at least 91% of its limit there."""
PROPAGATION_SECONDS = 4.0
"""Time within which a digest is assumed to reach every node of the region."""
LEASE_SECONDS = 10.0
"""Time for which a share stays reserved for an unresponsive node, and valid at a node that does not
update its table."""
BASELINE_SECONDS = 600.0
"""Nodes seen alive within this time form the set of which a majority is required. It is longer than
a zone is usually partitioned and shorter than a rolling replacement of the cluster takes."""


@dataclass(frozen=True, slots=True)
class _PublishedDigest:
    at: float
    digest: UsageDigest


@dataclass(slots=True)
class _PeerUsage:
    digest: UsageDigest
    seen_at: float
    """Time at which the node was last seen alive."""


class ShareTable:
    """Limit shares of this node; `update` must be called about once a second."""

    def __init__(self, this_node: NodeId, now: float) -> None:
        """Create a table in which this node is the only one."""
        self._this = this_node
        self._own_digests: deque[_PublishedDigest] = deque()
        self._others: dict[NodeId, _PeerUsage] = {}
        self._counted: set[NodeId] = set()
        self._totals: dict[int, float] = {}
        """Demand of the other counted nodes by hashed key."""
        self._updated_at = now
        self._isolated = False
        self._frozen: dict[int, float] = {}
        self._frozen_idle_share = 1.0

    @property
    def is_isolated(self) -> bool:
        """Whether this node sees no majority of the nodes seen during `BASELINE_SECONDS`."""
        return self._isolated

    @property
    def node_count(self) -> int:
        """Number of nodes that share the limits, including this one."""
        return len(self._counted) + 1

    def record_own_digest(self, digest: UsageDigest, now: float) -> None:
        """Record the digest that this node publishes now."""
        self._own_digests.append(_PublishedDigest(now, digest))

    def record_digest(self, node: NodeId, digest: UsageDigest, now: float) -> None:
        """Record a digest received from another node."""
        other = self._others.get(node)
        if other is None:
            self._others[node] = _PeerUsage(digest, now)
            return
        if node in self._counted:
            self._add(other.digest, -1.0)
            self._add(digest, 1.0)
        other.digest = digest

    def forget(self, node: NodeId) -> None:
        """Drop a node that has left or was replaced and therefore admits no more requests."""
        self._others.pop(node, None)

    def update(self, alive: Iterable[NodeId], now: float) -> bool:
        """Recompute the totals from the nodes that are alive now.

        Return True if this node restarts after a pause or a partition and must publish its demand
        again.
        """
        current = set(alive) - {self._this}
        for node in current:
            self._others.setdefault(node, _PeerUsage(UsageDigest(), now)).seen_at = now
        for node in [n for n, o in self._others.items() if o.seen_at < now - BASELINE_SECONDS]:
            del self._others[node]
        restarts = now - self._updated_at > LEASE_SECONDS
        isolated = bool(self._others) and 2 * (len(current) + 1) <= len(self._others) + 1
        if isolated and not self._isolated:
            self._freeze(now)
        restarts |= self._isolated and not isolated
        self._isolated = isolated
        self._count(now)
        if restarts:
            self._own_digests.clear()
        while len(self._own_digests) > 1 and self._own_digests[1].at <= now - PROPAGATION_SECONDS:
            self._own_digests.popleft()
        self._updated_at = now
        return restarts

    def _count(self, now: float) -> None:
        """Sum the demand of the nodes whose lease is valid, or of all nodes while isolated."""
        oldest = float("-inf") if self._isolated else now - LEASE_SECONDS
        self._counted = {n for n, other in self._others.items() if other.seen_at >= oldest}
        self._totals = {}
        for node in self._counted:
            self._add(self._others[node].digest, 1.0)

    def share(self, name: int, now: float) -> float:
        """Return this node's share of a limit, from 0 to 1; 0 if its lease has expired."""
        if now - self._updated_at > LEASE_SECONDS:
            return 0.0
        share = self._uncapped_share(name, now)
        return min(share, self.highest_share(name))

    def highest_share(self, name: int) -> float:
        """Return the upper bound of the share: 1, or the share before the partition if isolated."""
        return self._frozen.get(name, self._frozen_idle_share) if self._isolated else 1.0

    def _uncapped_share(self, name: int, now: float) -> float:
        own = self._lowest_own_demand(name, now)
        others = max(0.0, self._totals.get(name, 0.0))
        return (own + PRIOR_WEIGHT / self.node_count) / (own + others + PRIOR_WEIGHT)

    def _lowest_own_demand(self, name: int, now: float) -> float:
        """Return the lowest demand published for a key during the last `PROPAGATION_SECONDS`."""
        if not self._own_digests or self._own_digests[0].at > now - PROPAGATION_SECONDS:
            return 0.0
        return min(published.digest.demand.get(name, 0.0) for published in self._own_digests)

    def _freeze(self, now: float) -> None:
        """Save the shares of the last update as upper bounds."""
        names = set(self._totals).union(
            *(published.digest.demand for published in self._own_digests)
        )
        self._frozen = {name: self._uncapped_share(name, now) for name in names}
        self._frozen_idle_share = 1.0 / self.node_count

    def _add(self, digest: UsageDigest, sign: float) -> None:
        for name, demand in digest.demand.items():
            self._totals[name] = self._totals.get(name, 0.0) + sign * demand
