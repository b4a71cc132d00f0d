"""Failure detection and gossip on virtual time: the membership engine and its services."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from foxwinch.bench.fleet.fleet import Fleet, FleetShape
from foxwinch.bench.fleet.network import NetworkModel
from foxwinch.bench.fleet.node import SimulatedNode
from foxwinch.core.membership.engine import MembershipEngine
from foxwinch.core.membership.entry import MAX_PAYLOAD_BYTES, GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.outbox import Outbox
from foxwinch.core.membership.parameters import MAX_DATAGRAM_BYTES, UDP_HEADER_BYTES
from foxwinch.core.membership.wire import parse_datagram
from foxwinch.emulator.clock import VirtualClock
from foxwinch.emulator.network import LinkFaults, MemoryNetwork, addresses
from foxwinch.identifiers import NodeId, RegionName, ZoneName
from foxwinch.membership.gossip import GossipService
from foxwinch.membership.service import MembershipService


def converged_fleet(nodes: int, seed: int = 1, loss: float = 0.0, regions: int = 1) -> Fleet:
    model = NetworkModel(loss=loss, inter_region_loss=loss)
    fleet = Fleet(FleetShape(nodes, regions, 3 * regions), seed, model)
    fleet.start_all()
    run_until_converged(fleet)
    return fleet


def run_until_converged(fleet: Fleet, limit_seconds: float = 120.0) -> None:
    end = fleet.simulator.now + limit_seconds
    while True:
        fleet.run(0.5)
        if fleet.is_converged():
            return
        assert fleet.simulator.now < end, "not converged"


def state_at(observer: SimulatedNode, node: SimulatedNode) -> MemberState:
    return next(m.state for m in observer.engine.members() if m.node == node.node)


@settings(max_examples=15, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    nodes=st.integers(2, 9),
    faults=st.lists(
        st.tuples(st.sampled_from(["kill", "restart", "pause", "cut", "stop"]), st.integers(0, 8)),
        max_size=5,
    ),
)
def test_members_and_entries_converge_once_faults_stop(
    seed: int, nodes: int, faults: list[tuple[str, int]]
) -> None:
    fleet = Fleet(FleetShape(nodes, 1, 3), seed, NetworkModel(loss=0.2))
    fleet.start_all()
    fleet.run(2)
    for number, (fault, index) in enumerate(faults):
        node = fleet.nodes[fleet.locations[index % nodes].address]
        apply(fleet, fault, node)
        if node.running and not node.paused:
            node.publish(GossipEntry(GossipKind.SHARD, f"shard/{index}", number + 1, b"owner"))
        fleet.run(4)
    for location in fleet.locations:
        node = fleet.nodes[location.address]
        if node.paused:
            node.resume()
        if not node.running:
            fleet.start(location)
    fleet.network.model.loss = 0.0
    run_until_converged(fleet, 200)
    fleet.run(30)
    held = [node.engine.entries(GossipKind.SHARD) for node in fleet.running()]
    assert all(entries == held[0] for entries in held)
    present = {node.node for node in fleet.running()}
    assert {entry.owner for entry in held[0].values()} <= present


def apply(fleet: Fleet, fault: str, node: SimulatedNode) -> None:
    if not node.running:
        return
    if fault == "kill":
        node.kill()
    elif fault == "stop":
        node.leave()
        node.stop()
    elif fault == "restart":
        node.kill()
        fleet.start(node.location)
    elif fault == "pause":
        node.pause()
    else:
        fleet.network.model.loss = 0.5


def test_crash_is_distinguished_from_planned_stop() -> None:
    fleet = converged_fleet(12)
    watcher, crashed, stopped = fleet.running()[:3]
    stopped.leave()
    fleet.run(2)
    assert state_at(watcher, stopped) is MemberState.LEAVING
    stopped.stop()
    crashed.kill()
    fleet.run(2)
    assert state_at(watcher, stopped) is MemberState.LEFT
    fleet.run(8)
    assert state_at(watcher, crashed) is MemberState.DEAD


def test_restart_at_an_address_replaces_the_old_member_immediately() -> None:
    fleet = converged_fleet(6)
    watcher, old = fleet.running()[:2]
    old.publish(GossipEntry(GossipKind.COORDINATOR, "digest/old", 1, b"x"))
    fleet.run(3)
    assert "digest/old" in watcher.engine.entries(GossipKind.COORDINATOR)
    old.kill()
    new = fleet.start(old.location)
    fleet.run(2)
    assert state_at(watcher, old) is MemberState.DEAD
    assert state_at(watcher, new) is MemberState.ALIVE
    assert "digest/old" not in watcher.engine.entries(GossipKind.COORDINATOR)


def test_paused_member_is_declared_dead_and_refutes_after_resuming() -> None:
    fleet = converged_fleet(6)
    watcher, paused = fleet.running()[:2]
    paused.pause()
    fleet.run(10)
    assert state_at(watcher, paused) is MemberState.DEAD
    paused.resume()
    fleet.run(5)
    assert state_at(watcher, paused) is MemberState.ALIVE
    # Responses missed during the pause are no evidence against the other members.
    assert paused.engine.counters.condemnations == 0


def test_isolated_region_continues_and_merges_after_the_partition() -> None:
    fleet = converged_fleet(18, regions=3)
    far = RegionName("region-1")
    inside = next(node for node in fleet.running() if node.location.region == far)
    outside = next(node for node in fleet.running() if node.location.region != far)
    fleet.run(60)
    assert [r.cut_off for r in outside.engine.regions(fleet.simulator.now)] == [False] * 3
    fleet.network.model.isolated_regions.add(far)
    outside.publish(GossipEntry(GossipKind.CONFIGURATION, "head", 7, b"seven"))
    fleet.run(200)
    assert "head" not in inside.engine.entries(GossipKind.CONFIGURATION)
    silent = {r.region: r.cut_off for r in outside.engine.regions(fleet.simulator.now)}
    assert silent == {outside.location.region: False, "region-2": False, far: True}
    assert fleet.is_converged()
    fleet.network.model.isolated_regions.clear()
    fleet.run(30)
    assert inside.engine.entries(GossipKind.CONFIGURATION)["head"].version == 7


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_live_member_is_declared_dead_under_20_percent_loss(seed: int) -> None:
    fleet = converged_fleet(12, seed, loss=0.2)
    before = sum(node.engine.counters.condemnations for node in fleet.running())
    fleet.run(300)
    assert sum(node.engine.counters.suspicions for node in fleet.running()) > 0
    assert sum(node.engine.counters.condemnations for node in fleet.running()) == before


def test_traffic_stays_within_budget_and_urgent_entries_go_first() -> None:
    fleet = converged_fleet(12)
    publisher = fleet.running()[0]
    for node in fleet.running():
        for number in range(100):
            entry = GossipEntry(GossipKind.USAGE, f"{node.node}/{number}", 1, bytes(300))
            node.publish(entry)
    publisher.publish(GossipEntry(GossipKind.CONFIGURATION, "head", 1, bytes(300)))
    before = [node.engine.counters.bytes_sent for node in fleet.running()]
    fleet.run(5)
    assert all("head" in n.engine.entries(GossipKind.CONFIGURATION) for n in fleet.running())
    fleet.run(25)
    sent = [n.engine.counters.bytes_sent - b for n, b in zip(fleet.running(), before, strict=True)]
    parameters = fleet.parameters
    allowed = parameters.budget_bytes_per_second * 30 + parameters.budget_burst_bytes
    assert max(sent) <= allowed + MAX_DATAGRAM_BYTES + UDP_HEADER_BYTES
    assert (
        min(sent) > 0.8 * parameters.budget_bytes_per_second * 30
    )  # the pending updates use it up


@given(
    offers=st.lists(
        st.tuples(st.integers(0, 5), st.integers(1, 900), st.integers(1, 4)), max_size=30
    ),
    room=st.integers(0, 1200),
)
def test_outbox_respects_room_and_drains(offers: list[tuple[int, int, int]], room: int) -> None:
    outbox = Outbox()
    for number, (rank, size, transmissions) in enumerate(offers):
        outbox.offer(str(number), rank, bytes(size), transmissions)
    assert sum(map(len, outbox.take(room, 5))) <= room
    for _ in range(4 * len(offers)):
        outbox.take(900, 5)
    assert len(outbox) == 0


def new_engine() -> MembershipEngine:
    this = Member(
        NodeId("this"), addresses(1)[0], ZoneName("z"), RegionName("r"), MemberState.ALIVE, 0
    )
    return MembershipEngine(this, 1, 0.0)


@given(st.binary(max_size=1400))
def test_malformed_datagrams_get_no_response(payload: bytes) -> None:
    engine = new_engine()
    if parse_datagram(payload) is None:
        assert engine.receive(addresses(2)[1], payload, 1.0) == []
        assert engine.counters.malformed == 1
    else:
        engine.receive(addresses(2)[1], payload, 1.0)


@settings(max_examples=200)
@given(st.data())
def test_corrupted_datagrams_neither_crash_nor_grow_the_state(data: st.DataObject) -> None:
    fleet = CAPTURED_DATAGRAMS
    engine = new_engine()
    payload = bytearray(data.draw(st.sampled_from(fleet)))
    for _ in range(data.draw(st.integers(0, 4))):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    engine.receive(addresses(2)[1], bytes(payload[: data.draw(st.integers(0, 1200))]), 1.0)
    engine.tick(1.25)
    assert len(engine.members()) < 20


def captured_datagrams() -> list[bytes]:
    captured: list[bytes] = []
    fleet = Fleet(FleetShape(5, 1, 1), 3)
    send = fleet.network.send

    def capture(source: object, target: object, payload: bytes) -> None:
        captured.append(payload)
        send(source, target, payload)  # type: ignore[arg-type]

    fleet.network.send = capture  # type: ignore[method-assign, assignment]
    fleet.start_all()
    fleet.run(10)
    return captured


CAPTURED_DATAGRAMS = captured_datagrams()


def test_oversized_entries_are_rejected() -> None:
    engine = new_engine()
    with pytest.raises(ValueError, match="allowed"):
        engine.publish(GossipEntry(GossipKind.USAGE, "k", 1, bytes(MAX_PAYLOAD_BYTES + 1)), 0.0)


@pytest.mark.looptime
async def test_services_join_gossip_and_recover_from_a_partition() -> None:
    network = MemoryNetwork(2, LinkFaults(loss=0.05))
    places = addresses(5)
    services, gossips = [], []
    for index, address in enumerate(places):
        port = network.join(NodeId(f"n{index}"), address)
        member = Member(
            NodeId(f"n{index}"), address, ZoneName("z"), RegionName("r"), MemberState.ALIVE, 0
        )
        service = MembershipService(member, port, VirtualClock(index), places[:1])
        services.append(service)
        gossips.append(GossipService(service))
        await service.start()
    await asyncio.sleep(10)
    assert all(len(service.members()) == 5 for service in services)
    network.partition(places[:2], places[2:])
    await asyncio.sleep(30)
    dead = [m for m in services[0].members() if m.state is MemberState.DEAD]
    assert len(dead) == 3
    received_versions: list[int] = []
    gossips[0].subscribe(
        GossipKind.CONFIGURATION, lambda entry: received_versions.append(entry.version)
    )
    gossips[4].publish(GossipEntry(GossipKind.CONFIGURATION, "head", 3, b"three"))
    network.heal()
    await asyncio.sleep(60)
    for service in services:
        assert {m.state for m in service.members()} == {MemberState.ALIVE}
    assert received_versions == [3]
    for service in services:
        await service.stop()
