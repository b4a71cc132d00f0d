"""The journal's protocol under a hostile network, against an oracle of what was committed.

The rule-based machine shrinks a failure to a short history; the long random walks reach states
that lie many steps deep.
"""

import random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from journal_world import World

SLOT = st.integers(0, 3)
WALK_STEPS = 500


def deliver_all_of(world, name, reaches=lambda message: True):
    for _ in range(40):
        mine = [i for i, m in enumerate(world.messages) if m.source == name and reaches(m)]
        if not mine:
            return
        world.deliver(mine[0])


def run_owner(world, name, rounds=3):
    """Let an owner talk to its replicas without faults for a while."""
    for _ in range(rounds):
        for replica in world.slots:
            world.transmit(name, replica)
        deliver_all_of(world, name)


def establish(world, name, zones):
    world.raise_in_table(name, zones, lose_answer=False)
    deliver_all_of(world, name)
    run_owner(world, name)


def check_recoverable(world):
    """Within the fault bound, some node can always recover all that was committed."""
    world.table_up = True
    world.messages.clear()
    name = world.slots[0]
    node = world.nodes[name]
    node.attempt = None
    establish(world, name, [0, 1, 2])
    run_owner(world, name)
    assert node.writer is not None, "the shard cannot be recovered"
    assert node.writer.active
    world.check_recovered(node.replica.log)


class JournalProtocol(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()

    def _name(self, slot):
        return self.world.slots[slot]

    @initialize(slot=SLOT)
    def first_owner(self, slot):
        establish(self.world, self._name(slot), [0, 1, 2, 3])
        self.world.append(self._name(slot))

    @rule(slot=SLOT, zones=st.permutations(range(4)), size=st.integers(1, 4), lose=st.booleans())
    def raise_in_table(self, slot, zones, size, lose):
        self.world.raise_in_table(self._name(slot), zones[:size], lose)

    @rule(slot=SLOT)
    def settle(self, slot):
        self.world.settle(self._name(slot))

    @rule(slot=SLOT)
    def raise_on_replicas(self, slot):
        self.world.raise_on_replicas(self._name(slot))

    @rule(slot=SLOT)
    def give_up_attempt(self, slot):
        self.world.nodes[self._name(slot)].attempt = None

    @rule(slot=SLOT, count=st.integers(1, 3))
    def append(self, slot, count):
        for _ in range(count):
            self.world.append(self._name(slot))

    @rule(slot=SLOT, replica=SLOT)
    def transmit(self, slot, replica):
        self.world.transmit(self._name(slot), self._name(replica))

    @rule(slot=SLOT)
    def run_owner(self, slot):
        run_owner(self.world, self._name(slot))

    @rule(slot=SLOT)
    def run_attempt(self, slot):
        deliver_all_of(self.world, self._name(slot))

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data(), keep_copy=st.booleans())
    def deliver(self, data, keep_copy):
        position = data.draw(st.integers(0, len(self.world.messages) - 1))
        self.world.deliver(position, keep_copy)

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data())
    def lose(self, data):
        self.world.lose(data.draw(st.integers(0, len(self.world.messages) - 1)))

    @rule(position=st.integers(0, 59))
    def replay(self, position):
        self.world.replay(position)

    @rule(slot=SLOT)
    def crash(self, slot):
        if self.world.may_crash(slot):
            self.world.crash(slot)

    @rule()
    def switch_table(self):
        self.world.table_up = not self.world.table_up

    @rule(slot=SLOT)
    def flush(self, slot):
        self.world.flush(self._name(slot))

    @rule(slot=SLOT)
    def compact(self, slot):
        self.world.compact(self._name(slot))

    def teardown(self):
        check_recoverable(self.world)


JournalProtocol.TestCase.settings = settings(
    max_examples=60,
    derandomize=True,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestJournalProtocol = JournalProtocol.TestCase


class Walk:
    """One long random history; steps that make progress are the more frequent ones."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.world = World()
        self.cut = set()
        """Slots whose node is paused or cut off: it keeps what it has, and hears nothing."""
        self.steps = {
            self.append: 8,
            self.cut_or_heal: 1.0,
            self.transmit: 12,
            self.deliver: 16,
            self.deliver_copy: 2,
            self.replay: 2,
            self.lose: 1,
            self.run_owner: 3,
            self.run_attempt: 2,
            self.raise_in_table: 0.7,
            self.raise_on_replicas: 1.2,
            self.race_on_replicas: 0.5,
            self.settle: 0.5,
            self.give_up: 0.2,
            self.crash: 0.5,
            self.switch_table: 0.2,
            self.flush: 1.5,
            self.compact: 0.5,
        }

    def run(self, steps):
        establish(self.world, self.name(), self.zones())
        for step in self.random.choices(
            list(self.steps), weights=list(self.steps.values()), k=steps
        ):
            step()
        check_recoverable(self.world)

    def name(self):
        return self.random.choice(self.world.slots)

    def owner(self):
        """An owner, or one that still believes to be."""
        owners = [n for n in self.world.slots if self.world.nodes[n].writer is not None]
        return self.random.choice(owners) if owners else self.name()

    def zones(self):
        return self.random.sample(range(4), self.random.choice([2, 2, 4, 4, 4]))

    def is_cut(self, name):
        return name in self.world.slots and self.world.slots.index(name) in self.cut

    def reaches(self, message):
        return not self.is_cut(message.source) and not self.is_cut(message.target)

    def cut_or_heal(self):
        self.cut ^= {self.random.randrange(4)}
        if len(self.cut) > 2:
            self.cut.clear()

    def append(self):
        owner = self.owner()
        for _ in range(self.random.choice([1, 1, 3])):
            self.world.append(owner)

    def transmit(self):
        self.world.transmit(self.owner(), self.name())

    def deliver(self, keep_copy=False):
        reachable = [i for i, m in enumerate(self.world.messages) if self.reaches(m)]
        if reachable:
            self.world.deliver(self.random.choice(reachable), keep_copy)

    def deliver_copy(self):
        self.deliver(keep_copy=True)

    def replay(self):
        self.world.replay(self.random.randrange(60))

    def lose(self):
        if self.world.messages:
            self.world.lose(self.random.randrange(len(self.world.messages)))

    def run_owner(self):
        owner = self.owner()
        for replica in self.world.slots:
            self.world.transmit(owner, replica)
        deliver_all_of(self.world, owner, self.reaches)

    def run_attempt(self):
        attempting = [n for n in self.world.slots if self.world.nodes[n].attempt is not None]
        if attempting:
            deliver_all_of(self.world, self.random.choice(attempting), self.reaches)

    def raise_in_table(self):
        size = self.random.choice([1, 2, 2, 4, 4, 4])
        zones = self.random.sample(range(4), size)
        name = self.name()
        if not self.is_cut(name):
            self.world.raise_in_table(name, zones, self.random.random() < 0.2)

    def raise_on_replicas(self):
        name = self.name()
        if not self.is_cut(name):
            self.world.raise_on_replicas(name)

    def race_on_replicas(self):
        """Let several nodes raise the step at once, as when a link between them is cut."""
        for name in self.random.sample(self.world.slots, 3):
            self.world.raise_on_replicas(name)

    def settle(self):
        self.world.settle(self.name())

    def give_up(self):
        self.world.nodes[self.name()].attempt = None

    def crash(self):
        slot = self.random.randrange(4)
        if self.world.may_crash(slot):
            self.world.crash(slot)
            self.cut.discard(slot)

    def switch_table(self):
        self.world.table_up = self.random.random() < 0.7

    def flush(self):
        self.world.flush(self.owner())

    def compact(self):
        self.world.compact(self.owner())


@settings(
    max_examples=500, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
@given(st.integers(0, 2**32))
def test_long_walks_lose_nothing(seed):
    Walk(seed).run(WALK_STEPS)
