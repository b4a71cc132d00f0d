"""State machine of the fuzzer: faults and requests in any order, checked after every step."""

import asyncio
import sys
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from foxwinch.bench.cluster_fuzz.client import (
    NODE_LOST,
    Callers,
    CallKind,
    ClientCall,
    ClientProgram,
)
from foxwinch.bench.cluster_fuzz.document import (
    ENGINES,
    LONG,
    ONCE_TOOL,
    REPEATABLE_TOOL,
    SHORT,
    document,
)
from foxwinch.bench.cluster_fuzz.oracle import (
    CONFIGURATION,
    PLANNED,
    SETTLES,
    PropertyError,
    check_after_step,
    check_history,
    check_released,
)
from foxwinch.bench.cluster_fuzz.world import LOSSY, NO_LINK_FAULTS, FuzzNode, FuzzWorld
from foxwinch.commands.apply_configuration import ApplyConfiguration
from foxwinch.core.configuration.change import ChangeAccepted
from foxwinch.core.program.call_events import ProgramDetails
from foxwinch.emulator.faults import ServiceFaults, ToolFaults
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Refused, RunState

CHOICE = st.integers(0, 11)
MAX_NODES = 7
TRAFFIC_PROBABILITY = 0.5
FAULT_EFFECT_SECONDS = 60.0
"""Time after the last fault in which an unknown outcome may still be due to it."""
SETTLE_SECONDS = 60.0
RELEASE_SECONDS = 90.0
STORE_FAULTS = {
    "down": ServiceFaults(down=True),
    "silent": ServiceFaults(silent=True),
    "slow": ServiceFaults(delay_seconds=1.5),
    "answers lost": ServiceFaults(lose_answer_probability=0.4, duplicate_probability=0.2),
}
TOOL_FAULTS = {
    "answers lost": ToolFaults(lose_answer_probability=0.5),
    "down": ToolFaults(down=True),
    "hung": ToolFaults(hung_tools=(REPEATABLE_TOOL, ONCE_TOOL)),
}


class ClusterMachine(RuleBasedStateMachine):
    """A cluster with its callers and operators."""

    decorate: Any = None
    """Hook for planted bugs: replaces ports of a node."""

    def __init__(self) -> None:
        """Start without a cluster; `begin` creates it."""
        super().__init__()
        self.world: FuzzWorld | None = None
        self.checks = 0

    @initialize(nodes=st.integers(3, 5), seed=st.integers(0, 2**16))
    def begin(self, nodes: int, seed: int) -> None:
        """Start a cluster and wait until it accepts requests."""
        decorate = type(self).decorate
        self.world = FuzzWorld(seed, decorate)
        self.callers = Callers(self.world)
        self.leaving: dict[str, float] = {}
        self.accepted_rates: dict[int, float] = {}
        self.held_revisions: dict[str, int] = {}
        self.token_count = 0
        self.last_fault_at = float("-inf")
        self.world.start_nodes(nodes)
        self.world.sleep(10.0)
        for template in (LONG, SHORT, LONG):
            if not self.callers.create(self.world.nodes[0], template).created:
                raise PropertyError(SETTLES, "a new cluster did not create a program")

    @property
    def _world(self) -> FuzzWorld:
        assert self.world is not None
        return self.world

    def _node(self, choice: int) -> FuzzNode | None:
        usable = [node for node in self._world.nodes if node.usable]
        return usable[choice % len(usable)] if usable else None

    # --- callers ---------------------------------------------------------------------------

    @rule(choice=CHOICE, short=st.booleans())
    def create(self, choice: int, short: bool) -> None:
        """Create a program."""
        node = self._node(choice)
        if node is not None:
            self.callers.create(node, SHORT if short else LONG)

    @rule(choice=CHOICE, which=CHOICE, kind=st.sampled_from(CallKind), again=st.integers(1, 3))
    def call(self, choice: int, which: int, kind: CallKind, again: int) -> None:
        """Send the next call of several programs without waiting for the responses."""
        for step in range(again):
            self._call(choice + step, which + step, kind)

    @rule(choice=CHOICE, which=CHOICE, kind=st.sampled_from(CallKind), again=st.integers(1, 4))
    def converse(self, choice: int, which: int, kind: CallKind, again: int) -> None:
        """Send several calls of one program, each only if the one before is no longer in flight."""
        for step in range(again):
            self._call(choice + step, which, kind)
            self._world.sleep(0.5)

    def _traffic(self) -> None:
        """Send a call from about half of the idle callers, so that calls are in flight at a fault.

        Hypothesis disables some rules in each run; this keeps calls in every run.
        """
        world = self._world
        for index in range(len(self.callers.programs)):
            if world.random.random() < TRAFFIC_PROBABILITY:
                kind = world.random.choice(list(CallKind))
                self._call(world.random.randrange(MAX_NODES), index, kind)

    def _call(self, choice: int, which: int, kind: CallKind) -> None:
        program, node = self._program(which), self._node(choice)
        if program is not None and node is not None and not program.busy and not program.ended:
            self.callers.call(node, program, kind)
            self._world.sleep(0.02)

    @rule(choice=CHOICE, which=CHOICE)
    def repeat(self, choice: int, which: int) -> None:
        """Resend a program's last call."""
        program, node = self._program(which), self._node(choice)
        if program is None or node is None or program.busy or program.ended:
            return
        if program.calls and not program.calls[-1].succeeded:
            self.callers.resend(node, program)
            self._world.sleep(0.02)

    @rule(which=CHOICE)
    def client_gone(self, which: int) -> None:
        """Disconnect a caller."""
        program = self._program(which)
        if program is not None and program.busy:
            self.callers.disconnect(program)

    @rule(choice=CHOICE, which=CHOICE)
    def finish(self, choice: int, which: int) -> None:
        """Finish a program."""
        program, node = self._program(which), self._node(choice)
        if program is not None and node is not None and not program.busy and not program.ended:
            self.callers.end(node, program)

    @rule(choice=CHOICE, which=CHOICE)
    def read(self, choice: int, which: int) -> None:
        """Read a program's history."""
        program, node = self._program(which), self._node(choice)
        if program is not None and node is not None:
            answered = program.answered()
            details = self.callers.history(node, program)
            if isinstance(details, ProgramDetails):
                check_history(program, answered, details)

    def _program(self, which: int) -> ClientProgram | None:
        created = [program for program in self.callers.programs if program.created]
        return created[which % len(created)] if created else None

    # --- faults ----------------------------------------------------------------------------

    @rule(seconds=st.sampled_from([0.05, 1.0, 8.0, 30.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self._traffic()
        self._world.sleep(seconds)

    @precondition(lambda self: len(self.world.nodes) > 2)
    @rule(choice=CHOICE)
    def kill(self, choice: int) -> None:
        """Kill a node and start a replacement."""
        self.last_fault_at = self._world.now
        self._traffic()
        node = self._node(choice)
        if node is not None:
            self._world.kill(node)
            self._world.start_node()

    @rule(choice=CHOICE, seconds=st.sampled_from([2.0, 25.0]))
    def pause(self, choice: int, seconds: float) -> None:
        """Freeze a node past the expiry of its leases, then resume it."""
        self.last_fault_at = self._world.now
        self._traffic()
        node = self._node(choice)
        if node is not None:
            self._world.freeze(node)
            self._world.sleep(seconds)
            self._world.wake(node)

    @rule(choice=CHOICE, seconds=st.sampled_from([3.0, 30.0]))
    def partition(self, choice: int, seconds: float) -> None:
        """Isolate a zone for a time."""
        self.last_fault_at = self._world.now
        self._traffic()
        node = self._node(choice)
        if node is not None:
            zone = node.number % 3
            inside = [n.address for n in self._world.nodes if n.number % 3 == zone]
            outside = [n.address for n in self._world.nodes if n.number % 3 != zone]
            self._world.network.partition(inside, outside)
            self._world.sleep(seconds)
            self._world.network.heal()

    @rule(lossy=st.booleans())
    def loss(self, lossy: bool) -> None:
        """Start or stop losing, duplicating and reordering datagrams."""
        self.last_fault_at = self._world.now
        self._world.set_network_faults(LOSSY if lossy else NO_LINK_FAULTS)

    @rule(fault=st.sampled_from([*STORE_FAULTS, "none"]))
    def store(self, fault: str) -> None:
        """Set or clear a fault of the shared store."""
        self.last_fault_at = self._world.now
        self._traffic()
        self._world.set_store_faults(STORE_FAULTS.get(fault, ServiceFaults()))

    @rule(fault=st.sampled_from([*TOOL_FAULTS, "none"]))
    def tools(self, fault: str) -> None:
        """Set or clear a fault of the tools."""
        self.last_fault_at = self._world.now
        self._traffic()
        self._world.set_tool_faults(TOOL_FAULTS.get(fault, ToolFaults()))

    @rule(which=st.integers(1, 2))
    def worker_leaves(self, which: int) -> None:
        """Mark a worker as leaving in the machine list; the first worker always stays."""
        self._traffic()
        name = ENGINES[which]
        if name not in self.leaving:
            self._world.machines.mark_leaving(name, self._world.now)
            self.leaving[name] = self._world.now

    # --- operators -------------------------------------------------------------------------

    @rule(one=CHOICE, other=CHOICE, rate=st.integers(500, 2000))
    def change_configuration(self, one: int, other: int, rate: int) -> None:
        """Apply different changes to the same base revision through two nodes at once."""
        self._traffic()
        nodes = [node for node in (self._node(one), self._node(other)) if node is not None]
        base = max(self.held_revisions.values(), default=1)
        commands = []
        for index, node in enumerate(nodes):
            self.token_count += 1
            changed = document(rate + index)
            commands.append(
                (
                    node,
                    ApplyConfiguration(f"operator-{self.token_count:04d}", Revision(base), changed),
                )
            )

        async def apply() -> list[ChangeAccepted | Refused]:
            changes = [node.node.parts.configuration.changes.apply(c) for node, c in commands]
            return list(await asyncio.gather(*changes))

        for (_, command), outcome in zip(commands, self._world.run(apply()), strict=True):
            if isinstance(outcome, ChangeAccepted) and outcome.revision != base:
                self._accept(outcome.revision, command.document.tenants[0].requests_per_second)

    def _accept(self, revision: int, rate: float) -> None:
        if self.accepted_rates.setdefault(revision, rate) != rate:
            raise PropertyError(CONFIGURATION, f"two documents under revision {revision}")

    @precondition(lambda self: len(self.world.nodes) > 2)
    @rule(choice=CHOICE)
    def rollout(self, choice: int) -> None:
        """Drain and replace a node while calls are in flight."""
        self._traffic()
        node = self._node(choice)
        if node is None:
            return
        no_recent_fault = self._has_no_recent_fault()
        in_flight = [c for p in self.callers.programs for c in p.calls if _is_in_flight_at(c, node)]
        self._world.run(self._world.drain(node))
        for call in in_flight:
            if call.response is None:
                self._world.sleep(1.0)
            if _is_interrupted(call, no_recent_fault):
                raise PropertyError(PLANNED, f"{call.marker} received {call.response}")
        self._world.start_node()

    def _has_no_recent_fault(self) -> bool:
        world = self._world
        faults = (world.store_faults, world.tool_faults, world.network_faults)
        no_faults = faults == (ServiceFaults(), ToolFaults(), NO_LINK_FAULTS)
        return no_faults and world.now - self.last_fault_at > FAULT_EFFECT_SECONDS

    # --- checks ----------------------------------------------------------------------------

    @invariant()
    def check_properties(self) -> None:
        """Check the properties that must hold after every step."""
        if self.world is None:
            return
        self.checks += 1
        check_after_step(self._world, self.callers.programs, self.leaving)
        for node in self._world.nodes:
            snapshot = node.node.configuration.current()
            if isinstance(snapshot, Refused):
                continue
            identity = str(node.node.context.node)
            rate = snapshot.document.tenants[0].requests_per_second
            if snapshot.revision < self.held_revisions.get(identity, 0):
                raise PropertyError(
                    CONFIGURATION, f"{identity} reverted to revision {snapshot.revision}"
                )
            self.held_revisions[identity] = snapshot.revision
            self._accept(snapshot.revision, rate)

    def teardown(self) -> None:
        """Clear all faults and check that the cluster settles."""
        if self.world is None:
            return
        try:
            if self.checks > 1 and not self._has_failed():
                self._settle()
        finally:
            self._world.close()

    def _has_failed(self) -> bool:
        """Return whether a step has already raised."""
        return sys.exc_info()[0] is not None

    def _settle(self) -> None:
        world = self._world
        world.network.heal()
        world.set_network_faults(NO_LINK_FAULTS)
        world.set_store_faults(ServiceFaults())
        world.set_tool_faults(ToolFaults())
        world.sleep(SETTLE_SECONDS)
        self.check_properties()
        views = {str(node.node.configuration.current()) for node in world.nodes}
        if len(views) != 1:
            raise PropertyError(
                CONFIGURATION,
                f"nodes hold {len(views)} different configurations after {SETTLE_SECONDS} s",
            )
        for number, program in enumerate(self.callers.programs):
            if program.created:
                self._settle_program(world.nodes[number % len(world.nodes)], program)
        world.sleep(RELEASE_SECONDS)
        check_released(world, self.callers.programs)

    def _settle_program(self, node: FuzzNode, program: ClientProgram) -> None:
        if program.busy:
            raise PropertyError(SETTLES, f"{program.calls[-1].marker} received no response")
        details = self.callers.history(node, program)
        if isinstance(details, Refused):
            raise PropertyError(SETTLES, f"{program.name} cannot be read: {details}")
        check_history(program, program.answered(), details)
        if not program.ended:
            self.callers.end(node, program)
            if not program.ended:
                raise PropertyError(SETTLES, f"{program.name} cannot be finished")


def _is_in_flight_at(call: ClientCall, node: FuzzNode) -> bool:
    return call.response is None and call.node == node.number


def _is_interrupted(call: ClientCall, no_recent_fault: bool) -> bool:
    """Return whether a call lost its response or, without faults, has an unknown outcome."""
    if call.response is None:
        return True
    if not isinstance(call.response, Refused):
        return False
    return call.response == NODE_LOST or (
        no_recent_fault and call.response.run_state is RunState.UNKNOWN
    )
