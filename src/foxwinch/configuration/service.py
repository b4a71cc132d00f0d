"""The configuration in force at this node: polling, gossip, fetching, and operators' changes."""

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
from foxwinch.core.configuration.document import Unreadable
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
FETCH_SECONDS = 2.0
POLL_SECONDS = 2.0
"""A change accepted elsewhere is seen by each zone within this, gossip or no gossip: under half of
the 5 s within which it must be in force."""
START_PEERS = 3
"""Fellow nodes that a starting node asks for the newest revision while the table is down."""
START_WAIT_SECONDS = 3.0
"""The parts that start later find a configuration, unless table and fellow nodes are all away."""
RETRY_BACKOFF = Backoff(base_seconds=0.1, cap_seconds=2.0)


@dataclass(frozen=True, slots=True)
class ConfigurationServicePorts:
    """What the service needs of the node."""

    clock: Clock
    records: RecordStore
    peer: PeerPort
    gossip: GossipView
    membership: MembershipView


class ConfigurationService:
    """See `foxwinch.configuration.ports.ConfigurationView`; started before anything is served."""

    def __init__(
        self,
        ports: ConfigurationServicePorts,
        registry: CollectorRegistry,
        initial: ClusterConfiguration | None = None,
    ) -> None:
        """Use `ports`; `initial` is proposed when the table holds no configuration yet."""
        self._ports = ports
        self._initial = initial
        self._store = ConfigurationStore(ports.records)
        self._replica = ConfigurationReplica()
        self._listeners: list[Callable[[ConfigurationSnapshot], None]] = []
        self._snapshot: ConfigurationSnapshot | None = None
        self._tasks = ServiceTasks("configuration")
        self._wanted = asyncio.Event()
        self._ready = asyncio.Event()
        self._log = EventLog("configuration")
        self._metrics = ConfigurationMetrics(registry)
        self._encoder = ChangeEncoder()

    async def start(self) -> None:
        """Look for the newest revision; returns when it is held, or after a bound without it."""
        self._ports.peer.handle(FETCH_METHOD, self._serve_fetch)
        self._ports.peer.handle(STATUS_METHOD, self._serve_status)
        self._ports.gossip.subscribe(GossipKind.CONFIGURATION, self._on_gossip)
        for entry in self._ports.gossip.entries(GossipKind.CONFIGURATION).values():
            self._on_gossip(entry)
        self._tasks.start(self._poll_loop())
        self._tasks.start(self._fetch_loop())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_WAIT_SECONDS):
                await self._ready.wait()

    async def stop(self) -> None:
        """Stop looking; what is held stays served until the process ends."""
        await self._tasks.stop()

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the newest snapshot, or `STALE_CONFIGURATION` when a newer one is known."""
        held = self._replica.serve()
        if isinstance(held, Refused):
            self._metrics.refusals.inc()
            return held
        assert self._snapshot is not None
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Call `listener` with every newer snapshot, and at once with the one held."""
        self._listeners.append(listener)
        if self._snapshot is not None:
            listener(self._snapshot)

    async def apply(self, command: ApplyConfiguration) -> ChangeAccepted | Refused:
        """Carry out an operator's change; see `foxwinch.commands.apply_configuration`."""
        ports = ApplyPorts(self._ports.clock, self._store, self._load)
        outcome = await apply_configuration(ports, command)
        if isinstance(outcome, Refused):
            self._log.warning("change_refused", reason=outcome.reason, detail=outcome.detail)
            return outcome
        accepted, change = outcome
        self._log.info("change_accepted", revision=accepted.revision, token=command.token)
        self._replica.hear(accepted.revision, authority=True)
        if change is not None and change.revision == accepted.revision:
            self._receive(change)
        self._wanted.set()
        return accepted

    def status(self) -> ConfigurationStatus:
        """Return the revisions held and heard of at this node."""
        return ConfigurationStatus(
            held_revision=self._replica.held_revision,
            heard_revision=self._replica.heard_revision,
            serving=not isinstance(self._replica.serve(), Refused),
        )

    async def revisions_at_nodes(self) -> Sequence[NodeRevision]:
        """Ask every member which revision it holds."""
        return await revisions_at_nodes(self._ports.membership, self._ports.peer, self.status())

    # --- reading ---------------------------------------------------------------------------

    async def _poll_loop(self) -> None:
        attempt = 0
        while True:
            settled = not isinstance(self._replica.serve(), Refused)
            if not settled or self._is_poller():
                settled = await self._poll()
            self._note_ready()
            if settled:
                attempt = 0
                wait = POLL_SECONDS * (0.5 + 0.5 * self._ports.clock.uniform())
            else:
                wait = RETRY_BACKOFF.wait_seconds(attempt, self._ports.clock.uniform())
                attempt += 1
            await self._ports.clock.sleep(max(wait, 0.02))

    async def _poll(self) -> bool:
        """Read the head, or ask fellow nodes while the table is down; False: try again soon."""
        head = await self._store.head()
        if isinstance(head, Refused):
            self._metrics.table_failures.inc()
            if not self._replica.is_started:
                await self._ask_fellow_nodes()
        elif head.revision == 0:
            await self._propose_initial()
        else:
            await self._catch_up(head)
        return self._replica.is_started and self._replica.held is not None

    async def _catch_up(self, head: StoredHead) -> None:
        """Read a difference from the table, but a whole document rather from a fellow node."""
        self._replica.hear(head.revision, authority=True)
        if self._replica.held is not None:
            await self._load(head)
        if self._replica.is_behind:
            self._wanted.set()

    async def _propose_initial(self) -> None:
        if self._initial is not None:
            token = f"initial-{self._ports.clock.identifier()}"
            await self.apply(ApplyConfiguration(token, Revision(0), self._initial))

    async def _ask_fellow_nodes(self) -> None:
        """Learn the newest revision from fellow nodes, as an authority in the table's place."""
        members = self._choose_members(START_PEERS)
        answers = await asyncio.gather(*(self._fetch_from(member) for member in members))
        if any(answers) and self._replica.heard_revision > 0:
            self._replica.hear(self._replica.heard_revision, authority=True)

    async def _fetch_loop(self) -> None:
        attempt = 0
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            while self._replica.is_behind:
                await self._fetch(attempt)
                attempt += 1
                if self._replica.is_behind:
                    wait = RETRY_BACKOFF.wait_seconds(attempt, self._ports.clock.uniform())
                    await self._ports.clock.sleep(max(wait, 0.02))
            attempt = 0
            self._note_ready()

    def _note_ready(self) -> None:
        if not isinstance(self._replica.serve(), Refused):
            self._ready.set()

    async def _fetch(self, attempt: int) -> None:
        """Try one fellow node, then the table; the table only now and then, it is rate-limited."""
        members = self._choose_members(1)
        for member in members:
            await self._fetch_from(member)
        if self._replica.is_behind and (attempt % 2 == 1 or not members):
            head = await self._store.head()
            if not isinstance(head, Refused) and head.revision > 0:
                await self._load(head)

    async def _load(self, head: StoredHead) -> HeldConfiguration | Refused | None:
        self._replica.hear(head.revision, authority=True)
        if head.revision > self._replica.held_revision:
            changes = await self._store.changes_after(self._replica.held_revision, head)
            if isinstance(changes, Refused):
                self._metrics.table_failures.inc()
                return changes
            for change in changes:
                self._receive(change)
        return self._replica.held

    async def _fetch_from(self, member: Member) -> bool:
        """Ask one fellow node for what is missing here; True when it answered."""
        request = FetchConfigurationRequest(held_revision=self._replica.held_revision)
        answer = await self._ports.peer.call(
            member.address, FETCH_METHOD, request.SerializeToString(), FETCH_SECONDS
        )
        if isinstance(answer, Refused):
            return False
        try:
            response = FetchConfigurationResponse.FromString(answer)
        except DecodeError:
            return False
        self._replica.hear(Revision(response.heard_revision))
        for message in response.changes:
            self._receive_message(message)
        return True

    def _choose_members(self, count: int) -> list[Member]:
        """Choose live fellow nodes at random, those of this zone first."""
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

    # --- receiving and spreading ------------------------------------------------------------

    def _on_gossip(self, entry: GossipEntry) -> None:
        try:
            message = ConfigurationChange.FromString(entry.payload)
        except DecodeError:
            self._log.warning("gossip_unreadable", key=entry.key)
            return
        self._replica.hear(Revision(message.revision))
        if message.body:
            self._receive_message(message)
        if self._replica.is_behind:
            self._wanted.set()

    def _receive_message(self, message: ConfigurationChange) -> None:
        change = decode(message)
        if isinstance(change, Unreadable):
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
            self._adopted(held)

    def _adopted(self, held: HeldConfiguration) -> None:
        self._metrics.held.set(held.revision)
        self._log.info("revision_held", revision=held.revision)
        self._snapshot = ConfigurationSnapshot(held.revision, held.state.document)
        for listener in self._listeners:
            listener(self._snapshot)
        if held.revision % SNAPSHOT_REVISIONS == 0 and self._is_poller():
            self._tasks.start(self._prune(held.revision))

    def _publish(self, before: Revision) -> None:
        """Spread what is new here; entries that the gossip has already are ignored there."""
        for change in self._replica.changes_after(before)[-GOSSIP_SLOTS:]:
            self._ports.gossip.publish(gossip_entry(change))

    async def _prune(self, revision: Revision) -> None:
        outcome = await self._store.prune(revision)
        if outcome is not None:
            self._log.warning("prune_failed", detail=outcome.detail)

    # --- fellow nodes -----------------------------------------------------------------------

    async def _serve_fetch(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        try:
            request = FetchConfigurationRequest.FromString(payload)
        except DecodeError:
            return not_run(Reason.INVALID_REQUEST, "unreadable request")
        asked = Revision(request.held_revision)
        self._replica.hear(asked)
        if self._replica.is_behind:
            self._wanted.set()
        changes = [self._encoder.encode(c) for c in self._replica.changes_after(asked)]
        return FetchConfigurationResponse(
            heard_revision=self._replica.heard_revision, changes=changes
        ).SerializeToString()

    async def _serve_status(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        return self.status().SerializeToString()
