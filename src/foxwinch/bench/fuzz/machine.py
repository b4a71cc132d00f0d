"""The rules of the fuzzing: what callers, operators and faults do, in any order."""

from typing import Any, ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from foxwinch.bench.fuzz.world import World
from foxwinch.settings.cluster import ClusterConfiguration

MINIMUM_NODES = 3
MAX_NODES = 6
PROGRAMS = 4
RECOVERY_SECONDS = 20.0
"""Between two losses of nodes: time to detect the first, take over and copy."""
ANY_NODE = st.integers(0, MAX_NODES - 1)
ANY_PROGRAM = st.integers(0, PROGRAMS - 1)


class ClusterMachine(RuleBasedStateMachine):
    """A cluster of three to six nodes; at most one is impaired at a time."""

    document: ClassVar[ClusterConfiguration]

    def __init__(self) -> None:
        """Start without a cluster."""
        super().__init__()
        self.world: World | None = None

    @initialize(nodes=st.integers(MINIMUM_NODES, 5), seed=st.integers(0, 1_000))
    def begin(self, nodes: int, seed: int) -> None:
        """Start a cluster."""
        self.world = World(self.document, nodes, seed)

    @property
    def running(self) -> World:
        """Return the world."""
        assert self.world is not None
        return self.world

    def impaired(self) -> bool:
        """Tell whether a node is frozen or cut off."""
        return self.running.paused is not None or self.running.cut is not None

    @rule(program=ANY_PROGRAM, node=ANY_NODE)
    def create(self, program: int, node: int) -> None:
        """Create a program."""
        name = f"program-{program}"
        if name not in self.running.oracle.programs:
            self.running.create(name, node)

    @rule(program=ANY_PROGRAM, node=ANY_NODE, tool=st.booleans())
    def call(self, program: int, node: int, tool: bool) -> None:
        """Send a program's next call, once the one before has ended."""
        name = f"program-{program}"
        if name not in self.running.oracle.programs or self.running.busy(name):
            return
        if tool:
            self.running.tool(name, node)
        else:
            self.running.call(name, node)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.running.advance(seconds)

    @precondition(lambda self: not self.impaired())
    @rule(node=ANY_NODE)
    def kill(self, node: int) -> None:
        """End a node at once; a successor comes."""
        world = self.running
        world.run(world.cluster.kill(world.node(node)))
        world.run(world.cluster.add())
        world.advance(RECOVERY_SECONDS)

    @precondition(lambda self: not self.impaired())
    @rule(node=ANY_NODE)
    def drain(self, node: int) -> None:
        """Replace a node as planned."""
        world = self.running
        world.run(world.cluster.add())
        world.advance(RECOVERY_SECONDS)
        world.run(world.cluster.drain(world.node(node)))

    @precondition(lambda self: not self.impaired())
    @rule(node=ANY_NODE)
    def pause(self, node: int) -> None:
        """Freeze a node."""
        world = self.running
        chosen = world.node(node)
        world.cluster.pause(chosen)
        world.paused = chosen

    @precondition(lambda self: not self.impaired())
    @rule(node=ANY_NODE)
    def cut(self, node: int) -> None:
        """Cut a node off from its fellows."""
        world = self.running
        world.cut = world.node(node)
        world.cluster.partition([world.cut])

    @rule(down=st.booleans())
    def table(self, down: bool) -> None:
        """Let the platform's store fail or work."""
        self.running.set_table(down=down)

    @rule()
    def mend(self) -> None:
        """End every fault."""
        self.running.mend()

    @invariant()
    def holds(self) -> None:
        """Check what can be checked at any moment."""
        if self.world is not None:
            self.world.check()

    def teardown(self) -> None:
        """Let all settle and check everything."""
        if self.world is None:
            return
        try:
            self.world.check_settled()
        finally:
            self.world.close()


def machine_for(document: ClusterConfiguration) -> type[ClusterMachine]:
    """Return the state machine over clusters of a deployment."""
    return type("ClusterMachine", (ClusterMachine,), {"document": document})


def run_machine(machine: type[RuleBasedStateMachine], settings: Any) -> None:
    """Run the machine under Hypothesis settings; raises at the first broken property."""
    run_state_machine_as_test(machine, settings=settings)
