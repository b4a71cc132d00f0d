"""The network between nodes in memory, on the running loop's (virtual) time.

Datagrams are lost, delayed, doubled and reordered. Kept streams are reliable and ordered as TCP's
are: there, loss shows as delay, and a cut as an answer that comes once the cut is mended, unless
the connection was given up before.
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
    """How one direction of a link behaves."""

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.0005
    loss: float = 0.0
    """Fraction of datagrams lost; a lost stream packet costs `RETRANSMIT_SECONDS`."""
    doubling: float = 0.0
    """Fraction of datagrams delivered twice."""
    reordering: float = 0.0
    """Fraction of datagrams held back by up to ten times the delay."""


RETRANSMIT_SECONDS = 0.2
"""Delay of a stream's message whose packet was lost (the usual minimum of TCP)."""
HELD_BACK_FACTOR = 10.0


class MemoryNetwork:
    """Joins the ports of many nodes; seeded, so that a run can be repeated."""

    def __init__(self, seed: int = 0, faults: LinkFaults | None = None) -> None:
        """Use `faults` for every link that has none of its own."""
        self._random = random.Random(seed)
        self._default = faults or LinkFaults()
        self._links: dict[tuple[PeerAddress, PeerAddress], LinkFaults] = {}
        self._cut: set[tuple[PeerAddress, PeerAddress]] = set()
        self._running: dict[PeerAddress, asyncio.Event] = {}
        self._last_arrival_seconds: dict[tuple[PeerAddress, PeerAddress], float] = {}
        self.ports: dict[PeerAddress, MemoryPeerPort] = {}
        self.datagrams_total = 0
        self.datagram_bytes_total = 0

    def join(self, node: NodeId, address: PeerAddress) -> MemoryPeerPort:
        """Return the port of a node that starts at `address`; an earlier one there is killed."""
        self.kill(address)
        port = MemoryPeerPort(self, node, address)
        self.ports[address] = port
        running = asyncio.Event()
        running.set()
        self._running[address] = running
        return port

    def kill(self, address: PeerAddress) -> None:
        """End the node's network side at once: its requests and answers are lost."""
        port = self.ports.pop(address, None)
        if port is not None:
            port.shut()
            self._running[address].set()

    def pause(self, address: PeerAddress) -> None:
        """Freeze the node's network side; what arrives waits (pause its clock as well)."""
        self._running[address].clear()

    def resume(self, address: PeerAddress) -> None:
        """Let a frozen node go on; what waited arrives now."""
        self._running[address].set()

    def set_default(self, faults: LinkFaults) -> None:
        """Change every link that has no faults of its own."""
        self._default = faults

    def set_link(self, source: PeerAddress, target: PeerAddress, faults: LinkFaults) -> None:
        """Change one direction of one link."""
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
        """Mend every cut; other faults of links stay."""
        self._cut.clear()

    def is_cut(self, source: PeerAddress, target: PeerAddress) -> bool:
        """Tell whether one direction is cut."""
        return (source, target) in self._cut

    def send_datagram(self, source: PeerAddress, target: PeerAddress, payload: bytes) -> None:
        """Deliver a datagram later, perhaps."""
        self.datagrams_total += 1
        self.datagram_bytes_total += len(payload)
        faults = self._links.get((source, target), self._default)
        if self.is_cut(source, target) or self._random.random() < faults.loss:
            return
        copies = 2 if self._random.random() < faults.doubling else 1
        for _ in range(copies):
            delay_seconds = self._delay_seconds(faults)
            if self._random.random() < faults.reordering:
                delay_seconds *= 1 + HELD_BACK_FACTOR * self._random.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_seconds, self._deliver, source, target, payload)

    async def transfer(self, source: PeerAddress, target: PeerAddress) -> bool:
        """Carry one stream message in order, over a cut as well; False when the node is gone."""
        loop = asyncio.get_running_loop()
        faults = self._links.get((source, target), self._default)
        delay_seconds = self._delay_seconds(faults)
        while self._random.random() < faults.loss:
            delay_seconds += RETRANSMIT_SECONDS
        link = (source, target)
        arrival = max(self._last_arrival_seconds.get(link, 0.0), loop.time() + delay_seconds)
        self._last_arrival_seconds[link] = arrival
        await asyncio.sleep(arrival - loop.time())
        while self.is_cut(source, target):  # noqa: ASYNC110 - as TCP sends again
            await asyncio.sleep(RETRANSMIT_SECONDS)
        await self.wait_running(target)
        return target in self.ports

    def is_paused(self, address: PeerAddress) -> bool:
        """Tell whether the node is frozen."""
        running = self._running.get(address)
        return running is not None and not running.is_set()

    async def wait_running(self, address: PeerAddress) -> None:
        """Wait while the node is frozen."""
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
            port.keep(self._deliver_after_pause(source, port, payload))

    async def _deliver_after_pause(
        self, source: PeerAddress, port: MemoryPeerPort, payload: bytes
    ) -> None:
        await self.wait_running(port.address)
        port.handlers.deliver(source, payload)


def addresses(count: int) -> list[PeerAddress]:
    """Return so many different addresses for tests."""
    return [PeerAddress(f"127.0.{i // 250}.{i % 250 + 1}", 7000) for i in range(count)]
