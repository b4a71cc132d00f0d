"""Cluster-wide rate limits of tenants and classes, enforced without a remote call per request."""

from collections.abc import Mapping
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge

from foxwinch.clock import Clock
from foxwinch.configuration.ports import ConfigurationSnapshot, ConfigurationView
from foxwinch.core.limits.limiter import Limit, Limited, Limiter
from foxwinch.core.limits.shares import ShareTable
from foxwinch.core.limits.usage import DemandMeter, UsageDigest, decode, encode, key_hash
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import ClassName, NodeId, TenantName
from foxwinch.limits.ports import Admitted
from foxwinch.log import EventLog
from foxwinch.membership.ports import GossipView, MembershipView
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.service_tasks import ServiceTasks
from foxwinch.settings.cluster import ClassSettings, TenantSettings

UPDATE_SECONDS = 1.0
DIGEST_BYTES_PER_SECOND = 1_500.0
"""Rate at which a node receives the usage digests of its region: a quarter of the 6 KB/s that a
node has for control traffic. The interval between digests grows with the number of nodes."""
DIGEST_BYTES = 400
"""Size of a full digest including its gossip entry."""
REFRESH_SECONDS = 60.0
"""Interval at which an unchanged digest is republished for nodes that have joined since."""
CLASS_BURST_SECONDS = 5.0
UNLIMITED = 1e12
"""Rate used for an unset request or token limit of a class."""
RETRY_JITTER = 0.5
"""Fraction of the wait over which the retry times of refused callers are spread."""


@dataclass(frozen=True, slots=True)
class LimitsPorts:
    """Dependencies of the service."""

    clock: Clock
    gossip: GossipView
    membership: MembershipView
    configuration: ConfigurationView


@dataclass(frozen=True, slots=True)
class _LimitSettings:
    """Tenants and classes of the configuration by name."""

    tenants: Mapping[str, TenantSettings]
    classes: Mapping[str, ClassSettings]


class LimitsService:
    """Implements `foxwinch.limits.ports.LimitView`."""

    def __init__(self, ports: LimitsPorts, registry: CollectorRegistry) -> None:
        """Create the service; it admits requests only after `start`."""
        self._ports = ports
        self._node = ports.membership.this_member().node
        self._settings = _LimitSettings({}, {})
        self._digest = UsageDigest()
        self._published_at = float("-inf")
        self._version = 0
        self._tasks = ServiceTasks("limits")
        self._log = EventLog("limits")
        self._refusals = Counter(
            "foxwinch_limit_refusals_total",
            "Requests refused by a limit",
            ["kind"],
            registry=registry,
        )
        self._cut_off_gauge = Gauge(
            "foxwinch_limit_shares_frozen",
            "1 while this node sees no majority and its shares may not rise",
            registry=registry,
        )

    async def start(self) -> None:
        """Start to receive the demand of other nodes and to publish this node's own."""
        now = self._ports.clock.monotonic()
        self._table = ShareTable(self._node, now)
        self._meter = DemandMeter(now)
        self._limiter = Limiter(lambda key, at: self._table.share(key_hash(key), at), now)
        self._ports.configuration.subscribe(self._on_configuration)
        self._ports.gossip.subscribe(GossipKind.USAGE, self._on_gossip)
        self._ports.membership.subscribe(self._on_member)
        for entry in self._ports.gossip.entries(GossipKind.USAGE).values():
            self._on_gossip(entry)
        self._update()
        self._tasks.start(self._update_loop())

    async def stop(self) -> None:
        """Stop publishing; the other nodes reserve this node's share until its lease expires."""
        await self._tasks.stop()

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Charge one request and its estimated tokens to this node's shares, or refuse it."""
        snapshot = self._ports.configuration.current()
        if isinstance(snapshot, Refused):
            return snapshot
        limits = self._limits(tenant, class_name)
        if isinstance(limits, Refused):
            return limits
        rank = self._settings.classes[class_name].rank
        for limit in limits:
            self._record_demand(limit, estimated_tokens)
        now = self._ports.clock.monotonic()
        outcome = self._limiter.admit(limits, rank, estimated_tokens, now)
        if isinstance(outcome, Limited):
            kind = outcome.key.split(":", 1)[0]
            self._refusals.labels(kind).inc()
            wait = outcome.wait_seconds * (1.0 + RETRY_JITTER * self._ports.clock.uniform())
            return not_run(Reason.RATE_LIMITED, f"the {kind}'s limit is reached", wait)
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Correct the tenant's estimate by the actual usage; classes keep the estimate."""
        tenant = self._settings.tenants.get(admitted.tenant)
        if tenant is not None:
            now = self._ports.clock.monotonic()
            limits = (_tenant_limit(tenant),)
            self._limiter.settle(limits, admitted.estimated_tokens, used_tokens, now)

    def _limits(self, tenant: TenantName, class_name: ClassName) -> tuple[Limit, ...] | Refused:
        tenant_settings = self._settings.tenants.get(tenant)
        class_settings = self._settings.classes.get(class_name)
        if tenant_settings is None or class_settings is None:
            return not_run(Reason.INVALID_REQUEST, "unknown tenant or class")
        if tenant_settings.classes and class_name not in tenant_settings.classes:
            return not_run(Reason.INVALID_REQUEST, f"the tenant may not use class {class_name}")
        class_limit = _class_limit(class_settings)
        tenant_limit = _tenant_limit(tenant_settings)
        return (tenant_limit,) if class_limit is None else (tenant_limit, class_limit)

    def _record_demand(self, limit: Limit, tokens: int) -> None:
        """Record offered load as the seconds that it takes at the full limit."""
        seconds = max(1.0 / limit.requests_per_second, tokens / limit.tokens_per_second)
        self._meter.add(limit.key, seconds)

    # --- shares ----------------------------------------------------------------------------

    async def _update_loop(self) -> None:
        while True:
            await self._ports.clock.sleep(UPDATE_SECONDS)
            self._update()

    def _update(self) -> None:
        now = self._ports.clock.monotonic()
        alive = [m.node for m in self._ports.membership.members() if _is_counted(m)]
        was_isolated = self._table.is_isolated
        if self._table.update(alive, now):
            self._limiter.reset(now)
            self._published_at = float("-inf")
        if self._table.is_isolated != was_isolated:
            self._cut_off_gauge.set(self._table.is_isolated)
            self._log.warning("majority_changed", cut_off=self._table.is_isolated)
        self._meter.advance(now)
        interval = self._table.node_count * DIGEST_BYTES / DIGEST_BYTES_PER_SECOND
        digest = self._meter.digest()
        elapsed = now - self._published_at
        if elapsed >= REFRESH_SECONDS or (digest != self._digest and elapsed >= interval):
            self._publish_digest(digest, now)

    def _publish_digest(self, digest: UsageDigest, now: float) -> None:
        self._version += 1
        self._digest, self._published_at = digest, now
        self._table.record_own_digest(digest, now)
        payload = encode(digest)
        self._ports.gossip.publish(
            GossipEntry(GossipKind.USAGE, self._node, self._version, payload)
        )

    def _on_gossip(self, entry: GossipEntry) -> None:
        digest = decode(entry.payload)
        if digest is not None and entry.key != self._node:
            self._table.record_digest(NodeId(entry.key), digest, self._ports.clock.monotonic())

    def _on_member(self, member: Member) -> None:
        if member.state is MemberState.LEFT:
            self._table.forget(member.node)
        elif member.state is MemberState.ALIVE:
            for other in self._ports.membership.members():
                if other.address == member.address and other.node != member.node:
                    self._table.forget(other.node)

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        document = snapshot.document
        self._settings = _LimitSettings(
            {tenant.name: tenant for tenant in document.tenants},
            {entry.name: entry for entry in document.classes},
        )


def _is_counted(member: Member) -> bool:
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)


def _tenant_limit(tenant: TenantSettings) -> Limit:
    return Limit(
        f"tenant:{tenant.name}",
        tenant.requests_per_second,
        tenant.tokens_per_second,
        tenant.burst_seconds,
    )


def _class_limit(settings: ClassSettings) -> Limit | None:
    if settings.requests_per_second is None and settings.tokens_per_second is None:
        return None
    return Limit(
        f"class:{settings.name}",
        settings.requests_per_second or UNLIMITED,
        settings.tokens_per_second or UNLIMITED,
        CLASS_BURST_SECONDS,
    )
