"""Limits of tenants and classes across all nodes, without a call on the way of a request."""

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
"""Usage digests of all nodes of a region together, as each node receives them: a quarter of the
6 KB/s that a node has for control. The interval between digests grows with the nodes."""
DIGEST_BYTES = 400
"""A full digest with its gossip entry."""
REFRESH_SECONDS = 60.0
"""An unchanged digest is told again after so long, for nodes that joined since."""
CLASS_BURST_SECONDS = 5.0
UNLIMITED = 1e12
"""Rate of the part of a class limit that is not set."""
RETRY_JITTER = 0.5
"""Refused callers are told to come back spread over this part of the wait."""


@dataclass(frozen=True, slots=True)
class LimitsPorts:
    """What the service needs of the node."""

    clock: Clock
    gossip: GossipView
    membership: MembershipView
    configuration: ConfigurationView


@dataclass(frozen=True, slots=True)
class _Subjects:
    """Tenants and classes of the configuration by name."""

    tenants: Mapping[str, TenantSettings]
    classes: Mapping[str, ClassSettings]


class LimitsService:
    """See `foxwinch.limits.ports.LimitView`."""

    def __init__(self, ports: LimitsPorts, registry: CollectorRegistry) -> None:
        """Use `ports`; nothing is admitted before `start`."""
        self._ports = ports
        self._node = ports.membership.this_member().node
        self._subjects = _Subjects({}, {})
        self._digest = UsageDigest()
        self._told_at = float("-inf")
        self._version = 0
        self._tasks = ServiceTasks("limits")
        self._log = EventLog("limits")
        self._refusals = Counter(
            "foxwinch_limit_refusals_total",
            "Requests refused by a limit",
            ["kind"],
            registry=registry,
        )
        self._cut_off = Gauge(
            "foxwinch_limit_shares_frozen",
            "1 while this node sees no majority and its shares may not rise",
            registry=registry,
        )

    async def start(self) -> None:
        """Listen to the other nodes' demand and begin to tell this node's own."""
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
        self._tasks.start(self._run())

    async def stop(self) -> None:
        """Stop telling; the others keep this node's share for the time of its lease."""
        await self._tasks.stop()

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Take one request and its estimated tokens from the share, or refuse at once."""
        snapshot = self._ports.configuration.current()
        if isinstance(snapshot, Refused):
            return snapshot
        limits = self._limits(tenant, class_name)
        if isinstance(limits, Refused):
            return limits
        rank = self._subjects.classes[class_name].rank
        for limit in limits:
            self._count(limit, estimated_tokens)
        now = self._ports.clock.monotonic()
        outcome = self._limiter.admit(limits, rank, estimated_tokens, now)
        if isinstance(outcome, Limited):
            kind = outcome.key.split(":", 1)[0]
            self._refusals.labels(kind).inc()
            wait = outcome.wait_seconds * (1.0 + RETRY_JITTER * self._ports.clock.uniform())
            return not_run(Reason.RATE_LIMITED, f"the {kind}'s limit is reached", wait)
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Correct the tenant's estimate by what was used; classes keep the estimate."""
        tenant = self._subjects.tenants.get(admitted.tenant)
        if tenant is not None:
            now = self._ports.clock.monotonic()
            limits = (_tenant_limit(tenant),)
            self._limiter.settle(limits, admitted.estimated_tokens, used_tokens, now)

    def _limits(self, tenant: TenantName, class_name: ClassName) -> tuple[Limit, ...] | Refused:
        tenant_settings = self._subjects.tenants.get(tenant)
        class_settings = self._subjects.classes.get(class_name)
        if tenant_settings is None or class_settings is None:
            return not_run(Reason.INVALID_REQUEST, "unknown tenant or class")
        if tenant_settings.classes and class_name not in tenant_settings.classes:
            return not_run(Reason.INVALID_REQUEST, f"the tenant may not use class {class_name}")
        class_limit = _class_limit(class_settings)
        tenant_limit = _tenant_limit(tenant_settings)
        return (tenant_limit,) if class_limit is None else (tenant_limit, class_limit)

    def _count(self, limit: Limit, tokens: int) -> None:
        """Count offered work as the time that it takes at the whole limit."""
        seconds = max(1.0 / limit.requests_per_second, tokens / limit.tokens_per_second)
        self._meter.add(limit.key, seconds)

    # --- shares ----------------------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            await self._ports.clock.sleep(UPDATE_SECONDS)
            self._update()

    def _update(self) -> None:
        now = self._ports.clock.monotonic()
        alive = [m.node for m in self._ports.membership.members() if _is_counted(m)]
        was_cut_off = self._table.is_cut_off
        if self._table.update(alive, now):
            self._limiter.restart(now)
            self._told_at = float("-inf")
        if self._table.is_cut_off != was_cut_off:
            self._cut_off.set(self._table.is_cut_off)
            self._log.warning("majority_changed", cut_off=self._table.is_cut_off)
        self._meter.advance(now)
        interval = self._table.node_count * DIGEST_BYTES / DIGEST_BYTES_PER_SECOND
        digest = self._meter.digest()
        due = now - self._told_at
        if due >= REFRESH_SECONDS or (digest != self._digest and due >= interval):
            self._tell(digest, now)

    def _tell(self, digest: UsageDigest, now: float) -> None:
        self._version += 1
        self._digest, self._told_at = digest, now
        self._table.tell_own(digest, now)
        payload = encode(digest)
        self._ports.gossip.publish(
            GossipEntry(GossipKind.USAGE, self._node, self._version, payload)
        )

    def _on_gossip(self, entry: GossipEntry) -> None:
        digest = decode(entry.payload)
        if digest is not None and entry.key != self._node:
            self._table.tell(NodeId(entry.key), digest, self._ports.clock.monotonic())

    def _on_member(self, member: Member) -> None:
        if member.state is MemberState.LEFT:
            self._table.forget(member.node)
        elif member.state is MemberState.ALIVE:
            for other in self._ports.membership.members():
                if other.address == member.address and other.node != member.node:
                    self._table.forget(other.node)

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        document = snapshot.document
        self._subjects = _Subjects(
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
