"""Which shards this node takes over, repairs or hands over: events and a time in, actions out.

Nothing here is needed for safety, which rests on epochs. It decides when to try, so that a crash
is answered fast, by one node at a time, and a flapping membership moves nothing.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from foxwinch.core.journal.configuration import CommitPlace, Configuration
from foxwinch.core.shard.events import (
    AttemptFailed,
    Claim,
    ClaimDeclined,
    HandOver,
    MemberFact,
    MembersChanged,
    OwnerHeard,
    OwnershipAction,
    OwnershipEvent,
    Presence,
    Repair,
    Serving,
    ShardLost,
    ShardState,
    TimePassed,
)
from foxwinch.core.shard.placement import Candidate, insert_ranked, ranked, replica_group
from foxwinch.identifiers import NodeId, ShardNumber, ZoneName

START_SECONDS = 1.0
"""After the start, time for gossip to tell who owns what."""
UNSEEN_OWNER_SECONDS = 3.0
"""After the start, an owner never seen as a member counts as present for so long: word of a shard
may arrive before word of its owner (0.3 s before it, seen in a rolling replacement)."""
CLAIM_SECONDS = 0.1
"""Longest wait of the first candidate after an owner's death; jittered from half of it."""
STAGGER_SECONDS = 1.0
"""Each further candidate waits so much longer, in case the one before it does not manage."""
BACKOFF_MAXIMUM_SECONDS = 5.0
REPAIR_SECONDS = 0.3
"""A lack of replicas must last so long before the epoch is raised to replace them."""
HANDOVER_SECONDS = 5.0
"""Another node must be the better owner for so long before a shard moves to it."""
DECLINED_SECONDS = 5.0
"""A node that the shard's row names and that nobody heard serve is asked again after so long."""
LOST_SECONDS = 1.0
"""After losing a shard, time to hear who has it."""
ANEW_FRACTION = 8
"""Ranks are made anew when more than one member in so many changes at once."""
CLAIMS_AT_ONCE = 8
REPAIRS_AT_ONCE = 4
HANDOVERS_AT_ONCE = 2
"""Bounds that keep a change of many shards from crowding out the callers' work."""


@dataclass(slots=True)
class _Shard:
    state: ShardState = ShardState.FOLLOWING
    configuration: Configuration | None = None
    heard: bool = True
    """Whether the configuration was heard as active, and not only found in the row."""
    unowned_since: float | None = None
    lacking_since: float | None = None
    lacks: bool | None = None
    """Whether its replicas could be better; None until that is found out."""
    misplaced_since: float | None = None
    attempts: int = 0
    not_before: float = 0.0


class OwnershipDecisions:
    """Decides for all shards of one region at one node."""

    def __init__(self, this: NodeId, zone: ZoneName, shards: int, now: float) -> None:
        """Know nobody but this node at first."""
        self._this = Candidate(this, zone)
        self._shards = {ShardNumber(number): _Shard() for number in range(shards)}
        self._members: dict[NodeId, MemberFact] = {}
        self._seen: set[NodeId] = set()
        """Members seen in the first `UNSEEN_OWNER_SECONDS`."""
        self._ranks: dict[ShardNumber, list[NodeId]] = {}
        """Ranked live members by shard; kept up to date where few members change."""
        self._started_at = now
        self._leaving = False

    def state(self, shard: ShardNumber) -> ShardState:
        """Return the state of a shard."""
        return self._shards[shard].state

    def configuration(self, shard: ShardNumber) -> Configuration | None:
        """Return the newest configuration known of a shard."""
        return self._shards[shard].configuration

    def is_present(self, node: NodeId) -> bool:
        """Tell whether a node is there, leaving or not."""
        return node in self._members

    def serves(self, shard: ShardNumber) -> bool:
        """Tell whether this node serves the shard."""
        serving = (ShardState.SERVING, ShardState.REPAIRING, ShardState.HANDING_OVER)
        return self._shards[shard].state in serving

    def accept_handover(self, shard: ShardNumber) -> bool:
        """Start a claim that the shard's owner asked for; False when this node cannot."""
        if self._leaving or self._shards[shard].state is not ShardState.FOLLOWING:
            return False
        self._shards[shard].state = ShardState.CLAIMING
        return True

    def handle(self, event: OwnershipEvent, now: float) -> list[OwnershipAction]:
        """Take an event and return what to do now."""
        match event:
            case MembersChanged(members):
                if not self._on_members(members, now):
                    return []  # only time has passed, which the next look takes in
            case OwnerHeard(shard, configuration):
                self._on_owner(self._shards[shard], configuration)
            case ClaimDeclined(shard, configuration):
                self._on_declined(self._shards[shard], configuration, now)
            case Serving(shard, configuration):
                self._on_serving(self._shards[shard], configuration)
            case AttemptFailed(shard):
                self._on_failed(shard, self._shards[shard], now)
            case ShardLost(shard):
                self._shards[shard].state = ShardState.FOLLOWING
                self._shards[shard].not_before = now + LOST_SECONDS
            case TimePassed():
                pass
        return self._decide(now)

    def _on_members(self, members: Sequence[MemberFact], now: float) -> bool:
        """Take the members over; tells whether they differ from those known."""
        known = {member.node: member for member in members}
        if known == self._members:
            return False
        before = {candidate.node for candidate in self._live()}
        self._members = known
        if now < self._started_at + UNSEEN_OWNER_SECONDS:
            self._seen |= known.keys()
        self._update_ranks(before)
        for shard in self._shards.values():
            shard.lacks = None
        own = self._members.get(self._this.node)
        self._leaving = own is not None and own.presence is Presence.LEAVING
        return True

    def _update_ranks(self, before: set[NodeId]) -> None:
        """Take the live members' changes over into the ranks, at a score or few for each shard.

        Many changes at once, as at the start, are ranked anew when a rank is next asked for.
        """
        live = {candidate.node for candidate in self._live()}
        added, removed = live - before, before - live
        if (len(added) + len(removed)) * ANEW_FRACTION > len(live):
            self._ranks.clear()
            return
        for number, order in self._ranks.items():
            for node in removed:
                order.remove(node)
            for node in added:
                insert_ranked(f"shard/{number}", order, node)

    def _on_owner(self, shard: _Shard, configuration: Configuration) -> None:
        held = shard.configuration
        if held is not None and configuration.epoch <= held.epoch:
            shard.heard = shard.heard or configuration.epoch == held.epoch
            return
        shard.configuration = configuration
        shard.heard = True
        shard.lacks = None
        shard.unowned_since = None
        shard.misplaced_since = None

    def _on_declined(self, shard: _Shard, configuration: Configuration, now: float) -> None:
        """Follow the node that was found, unless a later configuration is known.

        A step is not in the row: the row's owner may long have been replaced by its replicas.
        """
        shard.state = ShardState.FOLLOWING
        shard.not_before = now + DECLINED_SECONDS
        held = shard.configuration
        if held is None or configuration.epoch > held.epoch:
            shard.configuration = configuration
            shard.heard = False
            shard.lacks = None
            shard.misplaced_since = None

    def _on_serving(self, shard: _Shard, configuration: Configuration) -> None:
        shard.state = ShardState.SERVING
        shard.configuration = configuration
        shard.heard = True
        shard.unowned_since = None
        shard.lacking_since = None
        shard.lacks = None
        shard.attempts = 0

    def _on_failed(self, number: ShardNumber, shard: _Shard, now: float) -> None:
        shard.attempts += 1
        limit = min(BACKOFF_MAXIMUM_SECONDS, 0.25 * 2**shard.attempts)
        shard.not_before = now + limit * self._jitter(number, shard)
        served = shard.state in (ShardState.REPAIRING, ShardState.HANDING_OVER)
        shard.state = ShardState.SERVING if served else ShardState.FOLLOWING

    def _decide(self, now: float) -> list[OwnershipAction]:
        actions: list[OwnershipAction] = []
        running: Counter[ShardState] | None = None
        for number, shard in self._shards.items():
            action = self._decide_shard(number, shard, now)
            if action is None:
                continue
            running = running or Counter(held.state for held in self._shards.values())
            state = _STATE_AFTER[type(action)]
            if running[state] < _AT_ONCE[state]:
                running[state] += 1
                shard.state = state
                actions.append(action)
        return actions

    def _decide_shard(
        self, number: ShardNumber, shard: _Shard, now: float
    ) -> OwnershipAction | None:
        if now < shard.not_before:
            return None
        if shard.state is ShardState.FOLLOWING:
            return self._decide_claim(number, shard, now)
        if shard.state is ShardState.SERVING:
            return self._decide_move(number, shard, now) or self._decide_repair(number, shard, now)
        return None

    def _decide_claim(self, number: ShardNumber, shard: _Shard, now: float) -> Claim | None:
        holder = shard.configuration.owner.node if shard.configuration is not None else None
        held = holder is not None and self._counts_as_present(holder, now)
        if (held and shard.heard) or self._leaving or now < self._started_at + START_SECONDS:
            shard.unowned_since = None
            return None
        if shard.unowned_since is None:
            shard.unowned_since = now
        first = CLAIM_SECONDS * (0.5 + 0.5 * self._jitter(number, shard))
        if now < shard.unowned_since + first:
            return None
        rank = self._claim_rank(number, shard)
        if now < shard.unowned_since + first + rank * STAGGER_SECONDS:
            return None
        return Claim(number)

    def _counts_as_present(self, holder: NodeId, now: float) -> bool:
        """Return whether another node that holds a shard may be there still."""
        if holder == self._this.node:
            return False
        if now >= self._started_at + UNSEEN_OWNER_SECONDS:
            return holder in self._members
        return holder in self._members or holder not in self._seen

    def _claim_rank(self, number: ShardNumber, shard: _Shard) -> int:
        """Return this node's place among those who may claim, replicas of the shard first.

        Only they can take it over while the table is down, and they need not fetch the log.
        """
        replicas = shard.configuration.nodes() if shard.configuration is not None else ()
        order = self._ranked(number)
        if self._this.node not in order:
            return len(order)
        own = order.index(self._this.node)
        places = [order.index(node) for node in replicas if node in order]
        if self._this.node in replicas:
            return sum(1 for place in places if place < own)
        return own + sum(1 for place in places if place > own)

    def _decide_move(self, number: ShardNumber, shard: _Shard, now: float) -> HandOver | None:
        if self._leaving:
            others = [node for node in self._ranked(number) if node != self._this.node]
            replicas = shard.configuration.nodes() if shard.configuration is not None else ()
            others.sort(key=lambda node: node not in replicas)
            return HandOver(number, others[0]) if others else None
        best = self._ranked(number)[:1]
        if not best or best[0] == self._this.node:
            shard.misplaced_since = None
            return None
        if shard.misplaced_since is None:
            shard.misplaced_since = now
        if now < shard.misplaced_since + HANDOVER_SECONDS:
            return None
        return HandOver(number, best[0])

    def _decide_repair(self, number: ShardNumber, shard: _Shard, now: float) -> Repair | None:
        if shard.lacks is None:
            shard.lacks = self._lacks_replicas(number, shard)
        if self._leaving or not shard.lacks:
            shard.lacking_since = None
            return None
        if shard.lacking_since is None:
            shard.lacking_since = now
        return Repair(number) if now >= shard.lacking_since + REPAIR_SECONDS else None

    def _lacks_replicas(self, number: ShardNumber, shard: _Shard) -> bool:
        configuration = shard.configuration
        if configuration is None:
            return False
        live = {c.node for c in self._live()}
        best = len(replica_group(f"shard/{number}", self._this, self._live()))
        if configuration.place is CommitPlace.TABLE:
            return best > 1
        return best > len(configuration.group) or any(
            node not in live and node != self._this.node for node in configuration.nodes()
        )

    def _ranked(self, number: ShardNumber) -> list[NodeId]:
        if number not in self._ranks:
            order = ranked(f"shard/{number}", self._live())
            self._ranks[number] = [candidate.node for candidate in order]
        return self._ranks[number]

    def _live(self) -> list[Candidate]:
        return [
            Candidate(member.node, member.zone)
            for member in self._members.values()
            if member.presence is Presence.LIVE
        ]

    def _jitter(self, number: ShardNumber, shard: _Shard) -> float:
        """Return a fraction from 0 up to 1 that differs by shard, node and attempt."""
        text = f"{number}\n{self._this.node}\n{shard.attempts}".encode()
        return xxhash.xxh3_64_intdigest(text) / 2**64


_STATE_AFTER = {
    Claim: ShardState.CLAIMING,
    Repair: ShardState.REPAIRING,
    HandOver: ShardState.HANDING_OVER,
}
_AT_ONCE = {
    ShardState.CLAIMING: CLAIMS_AT_ONCE,
    ShardState.REPAIRING: REPAIRS_AT_ONCE,
    ShardState.HANDING_OVER: HANDOVERS_AT_ONCE,
}
