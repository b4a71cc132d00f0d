"""Configuration service of a node: polling, gossip, fetching and operators' changes."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from google.protobuf.message import DecodeError
from prometheus_client import CollectorRegistry

from foxwinch._generated.configuration_pb2 import (
    ConfigurationChange,
    ConfigurationStatus,
    FetchConfigurationRequest,
    FetchConfigurationResponse,
)
from foxwinch.clock import Clock
from foxwinch.commands.apply_configuration import (
    ApplyConfiguration,
    ApplyPorts,
    apply_configuration,
)
from foxwinch.configuration.messages import GOSSIP_SLOTS, ChangeEncoder, gossip_entry
from foxwinch.configuration.metrics import ConfigurationMetrics
from foxwinch.configuration.ports import ConfigurationSnapshot
from foxwinch.configuration.store import (
    SNAPSHOT_REVISIONS,
    ConfigurationStore,
    StoredHead,
)
from foxwinch.core.configuration.change import Change, ChangeAccepted, decode
from foxwinch.core.configuration.document import InvalidDocument
from foxwinch.core.configuration.pollers import Candidate, is_poller
from foxwinch.core.configuration.replica import ConfigurationReplica, HeldConfiguration
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.identifiers import Revision
from foxwinch.log import EventLog
from foxwinch.membership.ports import GossipView, MembershipView
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerContext, PeerPort
from foxwinch.queries.configuration import STATUS_METHOD, NodeRevision, revisions_at_nodes
from foxwinch.records.ports import RecordStore
from foxwinch.service_tasks import ServiceTasks
from foxwinch.settings.cluster import ClusterConfiguration

FETCH_METHOD = "configuration.fetch"
FETCH_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 2.0
"""Time within which each zone sees an accepted change even without gossip. It is under half of the
5 s within which a change must be active."""
START_PEERS = 3
"""Peers that a starting node queries for the newest revision while the table is unavailable."""
START_WAIT_SECONDS = 3.0
"""Bound on the wait for a configuration at the start, which services that start later need. It is
reached only if neither the table nor any peer is available."""
RETRY_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=2.0)


@dataclass(frozen=True, slots=True)
class ConfigurationServicePorts:
    """Dependencies of the service."""

    clock: Clock
    records: RecordStore
    peer: PeerPort
    gossip: GossipView
    membership: MembershipView


class ConfigurationService:
    """Implements `foxwinch.configuration.ports.ConfigurationView`; starts before other services."""

    def __init__(
        self,
        ports: ConfigurationServicePorts,
        registry: CollectorRegistry,
        initial: ClusterConfiguration | None = None,
    ) -> None:
        """Create the service; `initial` is proposed if the table holds no configuration."""
        self._ports = ports
        self._initial = initial
        self._store = ConfigurationStore(ports.records)
        self._replica = ConfigurationReplica()
        self._listeners: list[Callable[[ConfigurationSnapshot], None]] = []
        self._snapshot: ConfigurationSnapshot | None = None
        self._tasks = ServiceTasks("configuration")
        self._fetch_event = asyncio.Event()
        self._ready_event = asyncio.Event()
        self._log = EventLog("configuration")
        self._metrics = ConfigurationMetrics(registry)
        self._encoder = ChangeEncoder()

    async def start(self) -> None:
        """Start to follow the configuration; return once it is served or the wait has expired."""
        self._ports.peer.handle(FETCH_METHOD, self._serve_fetch)
        self._ports.peer.handle(STATUS_METHOD, self._serve_status)
        self._ports.gossip.subscribe(GossipKind.CONFIGURATION, self._on_gossip)
        for entry in self._ports.gossip.entries(GossipKind.CONFIGURATION).values():
            self._on_gossip(entry)
        self._tasks.start(self._poll_loop())
        self._tasks.start(self._fetch_loop())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_SECONDS):
                await self._ready_event.wait()

    async def stop(self) -> None:
        """Stop following the configuration; the held revision is still served."""
        await self._tasks.stop()

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot, or `STALE_CONFIGURATION` if a newer revision is known."""
        held = self._replica.serve()
        if isinstance(held, Refused):
            self._metrics.refusals.inc()
            return held
        assert self._snapshot is not None
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Call `listener` with the held snapshot, if any, and with every newer one."""
        self._listeners.append(listener)
        if self._snapshot is not None:
            listener(self._snapshot)

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Apply an operator's change; see `foxwinch.commands.apply_configuration`."""
        ports = ApplyPorts(self._ports.clock, self._store, self._load)
        outcome = await apply_configuration(ports, command)
        if isinstance(outcome, Refused):
            self._log.warning("change_refused", reason=outcome.reason, detail=outcome.detail)
            return outcome
        accepted, change = outcome
        self._log.info("change_accepted", revision=accepted.revision, token=command.token)
        self._replica.record_revision(accepted.revision, authority=True)
        if change is not None and change.revision == accepted.revision:
            self._receive(change)
        self._fetch_event.set()
        return accepted

    def status(self) -> ConfigurationStatus:
        """Return the held and the highest known revision of this node."""
        return ConfigurationStatus(
            held_revision=self._replica.held_revision,
            heard_revision=self._replica.heard_revision,
            serving=not isinstance(self._replica.serve(), Refused),
        )

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Query every member for the revision that it holds."""
        return await revisions_at_nodes(self._ports.membership, self._ports.peer, self.status())

    # --- reading ---------------------------------------------------------------------------

    async def _poll_loop(self) -> None:
        attempt = 0
        while True:
            settled = not isinstance(self._replica.serve(), Refused)
            if not settled or self._is_poller():
                settled = await self._poll()
            self._update_ready_event()
            if settled:
                attempt = 0
                wait = POLL_SECONDS * (0.5 + 0.5 * self._ports.clock.uniform())
            else:
                wait = RETRY_BACKOFF.wait_seconds(attempt, self._ports.clock.uniform())
                attempt += 1
            await self._ports.clock.sleep(max(wait, 0.02))

    async def _poll(self) -> bool:
        """Read the head, or query peers if the table is unavailable; return False to retry soon."""
        head = await self._store.head()
        if isinstance(head, Refused):
            self._metrics.table_failures.inc()
            if not self._replica.is_confirmed:
                await self._query_peers()
        elif head.revision == 0:
            await self._propose_initial()
        else:
            await self._catch_up(head)
        return self._replica.is_confirmed and self._replica.held is not None

    async def _catch_up(self, head: StoredHead) -> None:
        """Read missing deltas from the table; a full document is fetched from a peer instead."""
        self._replica.record_revision(head.revision, authority=True)
        if self._replica.held is not None:
            await self._load(head)
        if self._replica.is_behind:
            self._fetch_event.set()

    async def _propose_initial(self) -> None:
        if self._initial is not None:
            token = f"initial-{self._ports.clock.identifier()}"
            await self.apply(ApplyConfiguration(token, Revision(0), self._initial))

    async def _query_peers(self) -> None:
        """Learn the newest revision from peers, the authority while the table is unavailable."""
        members = self._choose_members(START_PEERS)
        answers = await asyncio.gather(*(self._fetch_from(member) for member in members))
        if any(answers) and self._replica.heard_revision > 0:
            self._replica.record_revision(self._replica.heard_revision, authority=True)

    async def _fetch_loop(self) -> None:
        attempt = 0
        while True:
            await self._fetch_event.wait()
            self._fetch_event.clear()
            while self._replica.is_behind:
                await self._fetch(attempt)
                attempt += 1
                if self._replica.is_behind:
                    wait = RETRY_BACKOFF.wait_seconds(attempt, self._ports.clock.uniform())
                    await self._ports.clock.sleep(max(wait, 0.02))
            attempt = 0
            self._update_ready_event()

    def _update_ready_event(self) -> None:
        if not isinstance(self._replica.serve(), Refused):
            self._ready_event.set()

    async def _fetch(self, attempt: int) -> None:
        """Fetch from one peer, and on every second attempt from the rate-limited table."""
        members = self._choose_members(1)
        for member in members:
            await self._fetch_from(member)
        if self._replica.is_behind and (attempt % 2 == 1 or not members):
            head = await self._store.head()
            if not isinstance(head, Refused) and head.revision > 0:
                await self._load(head)

    async def _load(self, head: StoredHead) -> HeldConfiguration | Refused | None:
        self._replica.record_revision(head.revision, authority=True)
        if head.revision > self._replica.held_revision:
            changes = await self._store.changes_after(self._replica.held_revision, head)
            if isinstance(changes, Refused):
                self._metrics.table_failures.inc()
                return changes
            for change in changes:
                self._receive(change)
        return self._replica.held

    async def _fetch_from(self, member: Member) -> bool:
        """Fetch missing changes from one peer; return whether it responded."""
        request = FetchConfigurationRequest(held_revision=self._replica.held_revision)
        answer = await self._ports.peer.call(
            member.address, FETCH_METHOD, request.SerializeToString(), FETCH_TIMEOUT_SECONDS
        )
        if isinstance(answer, Refused):
            return False
        try:
            response = FetchConfigurationResponse.FromString(answer)
        except DecodeError:
            return False
        self._replica.record_revision(Revision(response.heard_revision))
        for message in response.changes:
            self._receive_message(message)
        return True

    def _choose_members(self, count: int) -> list[Member]:
        """Choose live peers at random, preferring those in this zone."""
        this = self._ports.membership.this_member()
        usable = (MemberState.ALIVE, MemberState.LEAVING)
        ranked = sorted(
            (
                m.zone != this.zone and self._ports.clock.uniform() < 0.5,
                self._ports.clock.uniform(),
                m.node,
                m,
            )
            for m in self._ports.membership.members()
            if m.node != this.node and m.state in usable
        )
        return [member for *_, member in ranked[:count]]

    def _is_poller(self) -> bool:
        this = self._ports.membership.this_member()
        alive = (
            Candidate(m.node, m.zone)
            for m in self._ports.membership.members()
            if m.state is MemberState.ALIVE
        )
        return is_poller(Candidate(this.node, this.zone), alive)

    # --- receiving and gossiping ------------------------------------------------------------

    def _on_gossip(self, entry: GossipEntry) -> None:
        try:
            message = ConfigurationChange.FromString(entry.payload)
        except DecodeError:
            self._log.warning("gossip_unreadable", key=entry.key)
            return
        self._replica.record_revision(Revision(message.revision))
        if message.body:
            self._receive_message(message)
        if self._replica.is_behind:
            self._fetch_event.set()

    def _receive_message(self, message: ConfigurationChange) -> None:
        change = decode(message)
        if isinstance(change, InvalidDocument):
            self._log.error("change_unreadable", revision=message.revision, detail=change.problem)
        else:
            self._receive(change)

    def _receive(self, change: Change) -> None:
        before = self._replica.held_revision
        problem = self._replica.receive(change)
        if problem is not None:
            self._log.error("change_unusable", revision=change.revision, detail=problem.problem)
        self._metrics.heard.set(self._replica.heard_revision)
        held = self._replica.held
        if held is not None and held.revision > before:
            self._publish(before)
            self._notify_held(held)

    def _notify_held(self, held: HeldConfiguration) -> None:
        self._metrics.held.set(held.revision)
        self._log.info("revision_held", revision=held.revision)
        self._snapshot = ConfigurationSnapshot(held.revision, held.state.document)
        for listener in self._listeners:
            listener(self._snapshot)
        if held.revision % SNAPSHOT_REVISIONS == 0 and self._is_poller():
            self._tasks.start(self._prune(held.revision))

    def _publish(self, before: Revision) -> None:
        """Gossip the newly held changes; entries that gossip already holds are ignored."""
        for change in self._replica.changes_after(before)[-GOSSIP_SLOTS:]:
            self._ports.gossip.publish(gossip_entry(change))

    async def _prune(self, revision: Revision) -> None:
        outcome = await self._store.prune(revision)
        if outcome is not None:
            self._log.warning("prune_failed", detail=outcome.detail)

    # --- requests from peers ----------------------------------------------------------------

    async def _serve_fetch(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        try:
            request = FetchConfigurationRequest.FromString(payload)
        except DecodeError:
            return not_run(Reason.INVALID_REQUEST, "malformed FetchConfigurationRequest")
        peer_revision = Revision(request.held_revision)
        self._replica.record_revision(peer_revision)
        if self._replica.is_behind:
            self._fetch_event.set()
        changes = [self._encoder.encode(c) for c in self._replica.changes_after(peer_revision)]
        return FetchConfigurationResponse(
            heard_revision=self._replica.heard_revision, changes=changes
        ).SerializeToString()

    async def _serve_status(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        return self.status().SerializeToString()
