"""Which part of each limit this node may use, from the demand that all nodes tell.

The share of node i is w_i / (w_1 + ... + w_n), where w is the told demand plus a small prior that
is the same for every node. For itself a node takes the lowest demand that it told during the last
`SPREAD_SECONDS`, for the others the newest that it knows. A raise is thus used only when everybody
knows it, a cut at once. While digests arrive within that time, whatever a node counts for another
one is at least what that one uses, and so the shares of all nodes add up to no more than one.

The weight of a dead node goes to the others after `LEASE_SECONDS`, and only at nodes that see a
majority of those seen during `BASELINE_SECONDS`. The others are cut off: their shares may fall and
not rise. A node that was cut off, or paused for longer than its lease, starts again like a new one.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from foxwinch.core.limits.usage import UsageDigest
from foxwinch.identifiers import NodeId

PRIOR_WEIGHT = 0.1
"""Sum of the priors of all nodes: an idle tenant finds 1/n everywhere at once, and a tenant that is
busy at one node only gets 91% or more of its limit there."""
SPREAD_SECONDS = 4.0
"""Within which a digest is taken to reach every node of the region."""
LEASE_SECONDS = 10.0
"""For which a share stays with a node that is not heard of, and with one that does not update."""
BASELINE_SECONDS = 600.0
"""Nodes seen alive during so long make up the whole that a majority is counted of: longer than a
zone is usually cut off, shorter than a fleet takes to be replaced."""


@dataclass(frozen=True, slots=True)
class _Told:
    at: float
    digest: UsageDigest


@dataclass(slots=True)
class _Other:
    """What is known of another node."""

    digest: UsageDigest
    seen_at: float
    """When it was last seen alive."""


class ShareTable:
    """Shares of this node; `update` is called about once a second."""

    def __init__(self, this_node: NodeId, now: float) -> None:
        """Start as the only node known."""
        self._this = this_node
        self._own: deque[_Told] = deque()
        self._others: dict[NodeId, _Other] = {}
        self._counted: set[NodeId] = set()
        self._totals: dict[int, float] = {}
        """Demand of the other counted nodes by key."""
        self._updated_at = now
        self._cut_off = False
        self._frozen: dict[int, float] = {}
        self._frozen_idle = 1.0

    @property
    def is_cut_off(self) -> bool:
        """True while this node sees no majority of the nodes seen lately."""
        return self._cut_off

    @property
    def node_count(self) -> int:
        """Nodes among which limits are shared, this one included."""
        return len(self._counted) + 1

    def tell_own(self, digest: UsageDigest, now: float) -> None:
        """Take note of the digest that this node publishes now."""
        self._own.append(_Told(now, digest))

    def tell(self, node: NodeId, digest: UsageDigest, now: float) -> None:
        """Take note of a digest of another node that arrived now."""
        other = self._others.get(node)
        if other is None:
            self._others[node] = _Other(digest, now)
            return
        if node in self._counted:
            self._add(other.digest, -1.0)
            self._add(digest, 1.0)
        other.digest = digest

    def forget(self, node: NodeId) -> None:
        """Drop a node that left in an orderly way or was replaced: it no longer admits."""
        self._others.pop(node, None)

    def update(self, alive: Iterable[NodeId], now: float) -> bool:
        """Work the totals out anew from the nodes that are seen alive now.

        True: this node starts again after a pause or a cut; its demand must be told anew.
        """
        current = set(alive) - {self._this}
        for node in current:
            self._others.setdefault(node, _Other(UsageDigest(), now)).seen_at = now
        for node in [n for n, o in self._others.items() if o.seen_at < now - BASELINE_SECONDS]:
            del self._others[node]
        restarts = now - self._updated_at > LEASE_SECONDS
        cut_off = bool(self._others) and 2 * (len(current) + 1) <= len(self._others) + 1
        if cut_off and not self._cut_off:
            self._freeze(now)
        restarts |= self._cut_off and not cut_off
        self._cut_off = cut_off
        self._count(now)
        if restarts:
            self._own.clear()
        while len(self._own) > 1 and self._own[1].at <= now - SPREAD_SECONDS:
            self._own.popleft()
        self._updated_at = now
        return restarts

    def _count(self, now: float) -> None:
        """Sum up the demand of those nodes whose lease runs, of all while cut off."""
        oldest = float("-inf") if self._cut_off else now - LEASE_SECONDS
        self._counted = {n for n, other in self._others.items() if other.seen_at >= oldest}
        self._totals = {}
        for node in self._counted:
            self._add(self._others[node].digest, 1.0)

    def share(self, name: int, now: float) -> float:
        """Return this node's part of a limit, from 0 to 1; 0 when the lease has lapsed."""
        if now - self._updated_at > LEASE_SECONDS:
            return 0.0
        share = self._fresh_share(name, now)
        return min(share, self.highest_share(name))

    def highest_share(self, name: int) -> float:
        """Return what the share may rise to: 1, or while cut off the share before the cut."""
        return self._frozen.get(name, self._frozen_idle) if self._cut_off else 1.0

    def _fresh_share(self, name: int, now: float) -> float:
        own = self._lowest_own(name, now)
        others = max(0.0, self._totals.get(name, 0.0))
        return (own + PRIOR_WEIGHT / self.node_count) / (own + others + PRIOR_WEIGHT)

    def _lowest_own(self, name: int, now: float) -> float:
        """Return the lowest demand told of a key during the time of a spread."""
        if not self._own or self._own[0].at > now - SPREAD_SECONDS:
            return 0.0
        return min(told.digest.demand.get(name, 0.0) for told in self._own)

    def _freeze(self, now: float) -> None:
        """Keep the shares of the last update as the highest that this node may use."""
        names = set(self._totals).union(*(told.digest.demand for told in self._own))
        self._frozen = {name: self._fresh_share(name, now) for name in names}
        self._frozen_idle = 1.0 / self.node_count

    def _add(self, digest: UsageDigest, sign: float) -> None:
        for name, demand in digest.demand.items():
            self._totals[name] = self._totals.get(name, 0.0) + sign * demand
