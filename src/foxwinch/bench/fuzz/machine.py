"""State machine of the fuzzer: actions of callers and operators, and faults, in any order."""

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

MIN_NODES = 3
MAX_NODES = 6
MAX_PROGRAMS = 4
RECOVERY_SECONDS = 20.0
"""Time after the loss of a node for detection, takeover and replication."""
ANY_NODE = st.integers(0, MAX_NODES - 1)
ANY_PROGRAM = st.integers(0, MAX_PROGRAMS - 1)


class ClusterMachine(RuleBasedStateMachine):
    """A cluster of three to six nodes; at most one is impaired at a time."""

    document: ClassVar[ClusterConfiguration]

    def __init__(self) -> None:
        """Start without a cluster."""
        super().__init__()
        self.world: World | None = None

    @initialize(nodes=st.integers(MIN_NODES, 5), seed=st.integers(0, 1_000))
    def begin(self, nodes: int, seed: int) -> None:
        """Start a cluster."""
        self.world = World(self.document, nodes, seed)

    @property
    def started_world(self) -> World:
        """The world, once `begin` has created it."""
        assert self.world is not None
        return self.world

    def is_impaired(self) -> bool:
        """Return whether a node is frozen or isolated."""
        return self.started_world.paused is not None or self.started_world.isolated is not None

    @rule(program=ANY_PROGRAM, node=ANY_NODE)
    def create(self, program: int, node: int) -> None:
        """Create a program."""
        name = f"program-{program}"
        if name not in self.started_world.oracle.programs:
            self.started_world.create(name, node)

    @rule(program=ANY_PROGRAM, node=ANY_NODE, tool=st.booleans())
    def call(self, program: int, node: int, tool: bool) -> None:
        """Send a program's next call, unless its previous call is in flight."""
        name = f"program-{program}"
        if name not in self.started_world.oracle.programs or self.started_world.busy(name):
            return
        if tool:
            self.started_world.tool(name, node)
        else:
            self.started_world.call(name, node)

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.3, 1.0, 5.0]))
    def wait(self, seconds: float) -> None:
        """Advance virtual time."""
        self.started_world.advance(seconds)

    @precondition(lambda self: not self.is_impaired())
    @rule(node=ANY_NODE)
    def kill(self, node: int) -> None:
        """Kill a node and start a replacement."""
        world = self.started_world
        world.run(world.cluster.kill(world.node(node)))
        world.run(world.cluster.add())
        world.advance(RECOVERY_SECONDS)

    @precondition(lambda self: not self.is_impaired())
    @rule(node=ANY_NODE)
    def drain(self, node: int) -> None:
        """Start a replacement, then drain and stop a node."""
        world = self.started_world
        world.run(world.cluster.add())
        world.advance(RECOVERY_SECONDS)
        world.run(world.cluster.drain(world.node(node)))

    @precondition(lambda self: not self.is_impaired())
    @rule(node=ANY_NODE)
    def pause(self, node: int) -> None:
        """Freeze a node."""
        world = self.started_world
        chosen = world.node(node)
        world.cluster.pause(chosen)
        world.paused = chosen

    @precondition(lambda self: not self.is_impaired())
    @rule(node=ANY_NODE)
    def cut(self, node: int) -> None:
        """Isolate a node from the other nodes."""
        world = self.started_world
        world.isolated = world.node(node)
        world.cluster.partition([world.isolated])

    @rule(down=st.booleans())
    def store_fault(self, down: bool) -> None:
        """Make the shared store unavailable or available."""
        self.started_world.set_store_down(down=down)

    @rule()
    def lift_faults(self) -> None:
        """Clear every active fault."""
        self.started_world.lift_faults()

    @invariant()
    def check_properties(self) -> None:
        """Check the properties that must hold after every step."""
        if self.world is not None:
            self.world.check()

    def teardown(self) -> None:
        """Clear all faults and check every property of the settled cluster."""
        if self.world is None:
            return
        try:
            self.world.check_settled()
        finally:
            self.world.close()


def machine_for(document: ClusterConfiguration) -> type[ClusterMachine]:
    """Return the state machine for clusters with this configuration."""
    return type("ClusterMachine", (ClusterMachine,), {"document": document})


def run_machine(machine: type[RuleBasedStateMachine], settings: Any) -> None:
    """Run the machine with Hypothesis settings; raise at the first violated property."""
    run_state_machine_as_test(machine, settings=settings)
