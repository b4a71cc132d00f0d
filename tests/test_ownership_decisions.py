"""Placement of shards and the decisions to claim, repair and hand over, without I/O."""

from hypothesis import given, settings
from hypothesis import strategies as st

from foxwinch.core.journal.configuration import CommitPlace, Configuration, GroupMember
from foxwinch.core.journal.framing import (
    CorruptFrames,
    chain_entries,
    decode_frames,
    encode_frames,
)
from foxwinch.core.shard.events import (
    AttemptFailed,
    Claim,
    ClaimDeclined,
    HandOver,
    MemberFact,
    MembersChanged,
    OwnerHeard,
    Presence,
    Repair,
    Serving,
    ShardLost,
    ShardState,
    TimePassed,
)
from foxwinch.core.shard.ownership import (
    DECLINED_SECONDS,
    HANDOVER_SECONDS,
    UNSEEN_OWNER_SECONDS,
    OwnershipDecisions,
)
from foxwinch.core.shard.placement import Candidate, insert_ranked, ranked, replica_group

SHARDS = 8
ZONES = ["caerdydd", "abertawe", "casnewydd"]


def fact(number, presence=Presence.LIVE):
    return MemberFact(f"n{number}", ZONES[number % 3], presence)


def member(number):
    return GroupMember(f"n{number}", ZONES[number % 3], "127.0.0.1", 9000 + number)


def owned_by(number, epoch, replicas=(0, 1, 2)):
    group = tuple(member(n) for n in (number, *(r for r in replicas if r != number)))
    return Configuration(epoch, member(number), group, CommitPlace.REPLICAS)


def run(decisions, until, start=0.0):
    """Let time pass in steps; returns the actions with their times."""
    found = []
    steps = int((until - start) / 0.1)
    for step in range(steps + 1):
        now = start + step * 0.1
        found += [(now, action) for action in decisions.handle(TimePassed(), now)]
    return found


def on_members(numbers, this=0):
    decisions = OwnershipDecisions(f"n{this}", ZONES[this % 3], SHARDS, 0.0)
    decisions.handle(MembersChanged(tuple(fact(n) for n in numbers)), 0.0)
    return decisions


def claims_of_shard_0(decisions, until, start):
    actions = run(decisions, until, start)
    return [at for at, action in actions if action == Claim(0)]


def test_a_joining_node_leaves_shards_to_owners_it_has_not_met_yet():
    decisions = on_members([0, 1, 2])
    decisions.handle(OwnerHeard(0, owned_by(9, 1 << 20)), 0.5)
    assert claims_of_shard_0(decisions, UNSEEN_OWNER_SECONDS - 0.5, 0.5) == []
    decisions.handle(MembersChanged(tuple(fact(n) for n in (0, 1, 2, 9))), 2.6)
    assert claims_of_shard_0(decisions, 20.0, 2.6) == []


def test_an_owner_that_is_never_met_is_replaced_in_the_end():
    decisions = on_members([0, 1, 2])
    decisions.handle(OwnerHeard(0, owned_by(9, 1 << 20)), 0.5)
    assert claims_of_shard_0(decisions, 10.0, 0.5)[0] >= UNSEEN_OWNER_SECONDS


def test_an_owner_seen_to_die_is_replaced_without_that_wait():
    decisions = on_members([0, 1, 2, 9])
    decisions.handle(OwnerHeard(0, owned_by(9, 1 << 20)), 0.5)
    decisions.handle(MembersChanged(tuple(fact(n) for n in (0, 1, 2))), 0.6)
    assert claims_of_shard_0(decisions, UNSEEN_OWNER_SECONDS - 0.2, 0.6) != []


@given(st.sets(st.integers(0, 40), min_size=2, max_size=20), st.data())
def test_a_member_that_goes_moves_only_its_own_shards(numbers, data):
    gone = data.draw(st.sampled_from(sorted(numbers)))
    before = [Candidate(f"n{n}", ZONES[n % 3]) for n in numbers]
    after = [candidate for candidate in before if candidate.node != f"n{gone}"]
    for shard in range(SHARDS):
        owner = ranked(f"shard/{shard}", before)[0]
        if owner.node != f"n{gone}":
            assert ranked(f"shard/{shard}", after)[0] == owner


@given(st.sets(st.integers(0, 40), min_size=1, max_size=20))
def test_replicas_are_in_distinct_zones(numbers):
    candidates = [Candidate(f"n{n}", ZONES[n % 3]) for n in numbers]
    group = replica_group("shard/1", candidates[0], candidates)
    zones = [candidate.zone for candidate in group]
    assert group[0] == candidates[0]
    assert len(zones) == len(set(zones)) == min(3, len({c.zone for c in candidates}))


def test_the_replicas_of_a_dead_owner_claim_first_and_one_after_the_other():
    claims = {}
    for this in (1, 2, 4):
        decisions = on_members([0, 1, 2, 4], this)
        decisions.handle(OwnerHeard(0, owned_by(0, 1 << 20)), 0.5)
        assert run(decisions, 5.0) == [] or all(a.shard != 0 for _, a in run(decisions, 5.0))
        decisions.handle(MembersChanged(tuple(fact(n) for n in (1, 2, 4))), 5.0)
        times = [now for now, action in run(decisions, 12.0, 5.0) if action == Claim(0)]
        claims[this] = times[0]
    assert min(claims[1], claims[2]) <= 5.2
    assert abs(claims[1] - claims[2]) >= 0.8
    assert claims[4] > max(claims[1], claims[2])


def test_a_row_older_than_what_was_heard_does_not_change_the_owner():
    decisions = on_members([0, 1, 2])
    step = owned_by(0, (1 << 20) + 1)
    decisions.handle(OwnerHeard(0, step), 0.5)
    decisions.handle(ClaimDeclined(0, owned_by(1, 1 << 20)), 2.0)
    assert decisions.configuration(0) == step
    assert Claim(0) in [action for _, action in run(decisions, 20.0, 2.0)]


def test_a_node_that_the_row_names_is_asked_again_until_it_is_heard():
    decisions = on_members([0, 1, 2])
    found = owned_by(1, 1 << 20)
    decisions.handle(ClaimDeclined(0, found), 2.0)
    claims = [now for now, action in run(decisions, 20.0, 2.0) if action == Claim(0)]
    assert claims[0] >= 2.0 + DECLINED_SECONDS
    decisions.handle(ClaimDeclined(0, found), 20.0)
    decisions.handle(OwnerHeard(0, found), 21.0)
    assert Claim(0) not in [action for _, action in run(decisions, 60.0, 21.0)]


def test_an_attempt_that_fails_after_the_shard_was_lost_does_not_serve_it_again():
    decisions = on_members([0, 1, 2])
    decisions.handle(Serving(0, owned_by(0, 1 << 20)), 2.0)
    decisions.handle(ShardLost(0), 3.0)
    decisions.handle(AttemptFailed(0), 3.1)
    assert decisions.state(0) is ShardState.FOLLOWING
    assert not decisions.serves(0)


def better_than_n0():
    """Return a number whose node scores higher than n0 for shard 0."""
    for number in range(1, 30):
        candidates = [Candidate("n0", ZONES[0]), Candidate(f"n{number}", ZONES[number % 3])]
        if ranked("shard/0", candidates)[0].node != "n0":
            return number
    raise AssertionError("n0 scores highest of all")


@settings(max_examples=30, deadline=None)
@given(st.lists(st.floats(0.1, HANDOVER_SECONDS - 0.2), min_size=2, max_size=8))
def test_a_flapping_better_owner_moves_nothing(presences):
    best = better_than_n0()
    decisions = on_members([0])
    decisions.handle(Serving(0, owned_by(0, 1 << 20, replicas=())), 0.0)
    now = 0.0
    for seconds in presences:
        decisions.handle(MembersChanged((fact(0), fact(best))), now)
        actions = run(decisions, now + seconds, now)
        now += seconds
        assert not any(isinstance(a, HandOver) and a.shard == 0 for _, a in actions)
        decisions.handle(MembersChanged((fact(0),)), now)
        decisions.handle(Serving(0, owned_by(0, 1 << 20, replicas=())), now)


def test_a_better_owner_that_stays_gets_the_shard():
    best = better_than_n0()
    decisions = on_members([0, best])
    decisions.handle(Serving(0, owned_by(0, 1 << 20, replicas=(best,))), 0.0)
    moved = [(now, a) for now, a in run(decisions, 6.0) if isinstance(a, HandOver)]
    assert [action for _, action in moved] == [HandOver(0, f"n{best}")]
    assert moved[0][0] >= HANDOVER_SECONDS


def test_a_leaving_node_hands_over_at_once_to_a_replica():
    decisions = on_members([0, 1, 2, 4, 5])
    for shard in range(SHARDS):
        decisions.handle(Serving(shard, owned_by(0, 1 << 20)), 0.0)
    leaving = (fact(0, Presence.LEAVING), *(fact(n) for n in (1, 2, 4, 5)))
    actions = decisions.handle(MembersChanged(leaving), 0.1)
    assert actions
    assert all(isinstance(a, HandOver) and a.successor in ("n1", "n2") for a in actions)


def test_a_dead_replica_is_replaced_once_it_stays_dead():
    decisions = on_members([0, 1, 2, 4])
    decisions.handle(Serving(0, owned_by(0, 1 << 20)), 0.0)
    assert not any(isinstance(a, Repair) for _, a in run(decisions, 1.0))
    decisions.handle(MembersChanged((fact(0), fact(2), fact(4))), 1.0)
    repairs = [now for now, a in run(decisions, 2.0, 1.0) if a == Repair(0)]
    assert len(repairs) == 1
    assert repairs[0] >= 1.3


@given(st.lists(st.binary(max_size=40), min_size=1, max_size=8), st.data())
def test_any_damage_to_frames_is_found(payloads, data):
    frames = encode_frames(chain_entries(payloads, 5, 77))
    decoded = decode_frames(frames, 5, 77)
    assert not isinstance(decoded, CorruptFrames)
    assert [entry.payload for entry in decoded] == payloads
    position = data.draw(st.integers(0, len(frames) - 1))
    flipped = bytes([frames[position] ^ data.draw(st.integers(1, 255))])
    damaged = frames[:position] + flipped + frames[position + 1 :]
    assert isinstance(decode_frames(damaged, 5, 77), CorruptFrames)
    assert isinstance(decode_frames(frames, 5, 78), CorruptFrames)


@given(names=st.sets(st.text("abc0", min_size=1, max_size=3), min_size=1, max_size=12))
def test_a_node_inserted_into_ranked_ones_stands_where_ranking_anew_puts_it(names):
    whole = [c.node for c in ranked("shard/1", [Candidate(name, "z") for name in names])]
    for name in names:
        order = [node for node in whole if node != name]
        insert_ranked("shard/1", order, name)
        assert order == whole


@given(toggled=st.lists(st.integers(1, 25), max_size=12))
@settings(deadline=None)
def test_ranks_after_single_changes_are_those_of_a_node_that_saw_only_the_last(toggled):
    members = set(range(26))
    history = on_members(members)
    for shard in range(SHARDS):
        history._ranked(shard)
    for number in toggled:
        members ^= {number}
        history.handle(MembersChanged(tuple(fact(n) for n in members)), 0.0)
    assert set(history._ranks) == set(range(SHARDS)), "no change of one member drops a rank"
    fresh = on_members(members)
    for shard in range(SHARDS):
        expected = fresh._ranked(shard)
        assert history._ranked(shard) == expected
        held = history._shards[shard]
        held.configuration = owned_by(2, 3)
        replicas_first = sorted(expected, key=lambda n: n not in ("n0", "n1", "n2"))
        assert history._claim_rank(shard, held) == replicas_first.index("n0")
