"""Membership over real sockets with a fault proxy in front of each node."""

import asyncio
from collections.abc import Callable

from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.clock import SystemClock
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.identifiers import NodeId, RegionName, ZoneName
from foxwinch.membership.service import MembershipService
from foxwinch.peer.service import PeerService

FAST_PARAMETERS = MembershipParameters(
    tick_seconds=0.05,
    probe_period_seconds=0.1,
    probe_timeout_seconds=0.1,
    probe_failed_seconds=0.3,
    suspicion_seconds=0.8,
    reprobe_seconds=0.15,
    rejoin_period_seconds=0.5,
    join_period_seconds=0.2,
    budget_bytes_per_second=50_000.0,
    budget_burst_bytes=50_000.0,
)


class ProxiedNode:
    """A node whose peer port is reachable only through a proxy."""

    def __init__(self, index: int) -> None:
        self.name = NodeId(f"n{index}")
        self.peers = PeerService(self.name, f"127.0.9.{index + 1}")

    async def start(self, seeds: list["ProxiedNode"]) -> None:
        await self.peers.start()
        self.proxy = FaultProxy(self.peers.address)
        await self.proxy.start()
        this = Member(
            self.name, self.proxy.address, ZoneName("z"), RegionName("r"), MemberState.ALIVE, 0
        )
        addresses = [seed.proxy.address for seed in seeds]
        self.service = MembershipService(
            this, self.peers, SystemClock(), addresses, parameters=FAST_PARAMETERS
        )
        await self.service.start()

    async def stop(self) -> None:
        await self.service.stop()
        await self.proxy.stop()
        await self.peers.stop()

    def states(self) -> dict[NodeId, MemberState]:
        return {member.node: member.state for member in self.service.members()}


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():  # noqa: ASYNC110 - the condition has no event to wait for
            await asyncio.sleep(0.01)


async def test_nodes_join_and_recover_from_a_partition_over_sockets() -> None:
    nodes = [ProxiedNode(index) for index in range(4)]
    for node in nodes:
        await node.start(nodes[:1] if node is not nodes[0] else [])
    everyone = {node.name: MemberState.ALIVE for node in nodes}
    await until(lambda: all(node.states() == everyone for node in nodes))
    for node in nodes:
        node.proxy.set_faults(loss=0.2, delay_seconds=0.003)
    isolated, *others = nodes[::-1]
    isolated.proxy.set_faults(block_to_target=True, block_to_client=True)
    for other in others:
        other.proxy.block_source(isolated.peers.address.host)
    await until(lambda: all(o.states()[isolated.name] is MemberState.DEAD for o in others))
    for node in nodes:
        node.proxy.heal()
    await until(lambda: all(node.states() == everyone for node in nodes))
    await nodes[1].stop()
    await until(lambda: nodes[0].states()[nodes[1].name] is MemberState.LEFT)
    for node in (nodes[0], *nodes[2:]):
        await node.stop()
