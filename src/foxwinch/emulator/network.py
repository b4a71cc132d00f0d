"""An in-memory network between nodes, on the (virtual) time of the running event loop.

Datagrams are lost, delayed, duplicated and reordered. Streams are reliable and ordered, as over
TCP: a lost packet only delays them, and a response that meets a cut link arrives once the link is
restored, unless the connection was closed before.
"""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from foxwinch.emulator.memory_port import MemoryPeerPort
from foxwinch.identifiers import NodeId
from foxwinch.peer.ports import PeerAddress


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Delay and faults of one direction of a link."""

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.0005
    loss: float = 0.0
    """Fraction of datagrams lost; a lost stream packet is delayed by `RETRANSMIT_SECONDS`."""
    duplication: float = 0.0
    """Fraction of datagrams delivered twice."""
    reordering: float = 0.0
    """Fraction of datagrams delayed by up to ten additional times the delay."""


RETRANSMIT_SECONDS = 0.2
"""Delay of a stream message whose packet was lost (the usual minimum of TCP)."""
REORDERING_DELAY_FACTOR = 10.0


class MemoryNetwork:
    """Connects the ports of many nodes; seeded, so that a run can be repeated."""

    def __init__(self, seed: int = 0, faults: LinkFaults | None = None) -> None:
        """Use `faults` for every link without faults of its own."""
        self._random = random.Random(seed)
        self._default_faults = faults or LinkFaults()
        self._links: dict[tuple[PeerAddress, PeerAddress], LinkFaults] = {}
        self._cut: set[tuple[PeerAddress, PeerAddress]] = set()
        self._running: dict[PeerAddress, asyncio.Event] = {}
        self._last_arrival_seconds: dict[tuple[PeerAddress, PeerAddress], float] = {}
        self.ports: dict[PeerAddress, MemoryPeerPort] = {}
        self.datagrams_total = 0
        self.datagram_bytes_total = 0

    def join(self, node: NodeId, address: PeerAddress) -> MemoryPeerPort:
        """Return the port of a node that starts at `address`, killing an earlier node there."""
        self.kill(address)
        port = MemoryPeerPort(self, node, address)
        self.ports[address] = port
        running = asyncio.Event()
        running.set()
        self._running[address] = running
        return port

    def kill(self, address: PeerAddress) -> None:
        """Close the node's port immediately; its requests and responses are lost."""
        port = self.ports.pop(address, None)
        if port is not None:
            port.close()
            self._running[address].set()

    def pause(self, address: PeerAddress) -> None:
        """Pause the node's port, so that arriving messages wait; pause its clock as well."""
        self._running[address].clear()

    def resume(self, address: PeerAddress) -> None:
        """Resume a paused node and deliver the messages that waited."""
        self._running[address].set()

    def set_default(self, faults: LinkFaults) -> None:
        """Set the faults of every link without faults of its own."""
        self._default_faults = faults

    def set_link(self, source: PeerAddress, target: PeerAddress, faults: LinkFaults) -> None:
        """Set the faults of one direction of one link."""
        self._links[(source, target)] = faults

    def cut(self, source: PeerAddress, target: PeerAddress) -> None:
        """Cut one direction of one link."""
        self._cut.add((source, target))

    def cut_both(self, one: PeerAddress, other: PeerAddress) -> None:
        """Cut a link in both directions."""
        self.cut(one, other)
        self.cut(other, one)

    def partition(self, one_side: Iterable[PeerAddress], other_side: Iterable[PeerAddress]) -> None:
        """Cut every link between two groups."""
        others = list(other_side)
        for one in one_side:
            for other in others:
                self.cut_both(one, other)

    def heal(self) -> None:
        """Restore every cut link; other faults of links stay."""
        self._cut.clear()

    def is_cut(self, source: PeerAddress, target: PeerAddress) -> bool:
        """Return whether one direction is cut."""
        return (source, target) in self._cut

    def send_datagram(self, source: PeerAddress, target: PeerAddress, payload: bytes) -> None:
        """Schedule the delivery of a datagram, subject to the link's faults."""
        self.datagrams_total += 1
        self.datagram_bytes_total += len(payload)
        faults = self._links.get((source, target), self._default_faults)
        if self.is_cut(source, target) or self._random.random() < faults.loss:
            return
        copies = 2 if self._random.random() < faults.duplication else 1
        for _ in range(copies):
            delay_seconds = self._delay_seconds(faults)
            if self._random.random() < faults.reordering:
                delay_seconds *= 1 + REORDERING_DELAY_FACTOR * self._random.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_seconds, self._deliver, source, target, payload)

    async def transfer(self, source: PeerAddress, target: PeerAddress) -> bool:
        """Transfer one stream message in order; return False if the target's port is closed.

        On a cut link the message waits until the link is restored.
        """
        loop = asyncio.get_running_loop()
        faults = self._links.get((source, target), self._default_faults)
        delay_seconds = self._delay_seconds(faults)
        while self._random.random() < faults.loss:
            delay_seconds += RETRANSMIT_SECONDS
        link = (source, target)
        arrival = max(self._last_arrival_seconds.get(link, 0.0), loop.time() + delay_seconds)
        self._last_arrival_seconds[link] = arrival
        await asyncio.sleep(arrival - loop.time())
        while self.is_cut(source, target):  # noqa: ASYNC110 - polls as TCP retransmits
            await asyncio.sleep(RETRANSMIT_SECONDS)
        await self.wait_running(target)
        return target in self.ports

    def is_paused(self, address: PeerAddress) -> bool:
        """Return whether the node is paused."""
        running = self._running.get(address)
        return running is not None and not running.is_set()

    async def wait_running(self, address: PeerAddress) -> None:
        """Wait while the node is paused."""
        running = self._running.get(address)
        if running is not None:
            await running.wait()

    def _delay_seconds(self, faults: LinkFaults) -> float:
        return faults.delay_seconds + self._random.random() * faults.jitter_seconds

    def _deliver(self, source: PeerAddress, target: PeerAddress, payload: bytes) -> None:
        port = self.ports.get(target)
        if port is None:
            return
        if self._running[target].is_set():
            port.handlers.deliver(source, payload)
        else:
            port.start_task(self._deliver_after_pause(source, port, payload))

    async def _deliver_after_pause(
        self, source: PeerAddress, port: MemoryPeerPort, payload: bytes
    ) -> None:
        await self.wait_running(port.address)
        port.handlers.deliver(source, payload)


def addresses(count: int) -> list[PeerAddress]:
    """Return `count` different addresses for tests."""
    return [PeerAddress(f"127.0.{i // 250}.{i % 250 + 1}", 7000) for i in range(count)]
