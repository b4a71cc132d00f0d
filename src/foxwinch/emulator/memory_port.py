"""One node's port to the in-memory network."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Coroutine
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.peer.handlers import HandlerTable
from foxwinch.peer.limits import (
    CONNECT_TIMEOUT_SECONDS,
    MAX_DATAGRAM_BYTES,
    SILENCE_TIMEOUT_SECONDS,
    STREAM_CREDIT,
)
from foxwinch.peer.ports import (
    DatagramHandler,
    PeerAddress,
    PeerContext,
    StreamHandler,
    UnaryHandler,
)

if TYPE_CHECKING:
    from foxwinch.emulator.network import MemoryNetwork

LOST = outcome_unknown(Reason.PEER_UNREACHABLE, "the connection broke before the answer")
LATE = outcome_unknown(Reason.DEADLINE, "no answer before the deadline")
END = None
CLOCK_STEP_SECONDS = 1e-5
"""A virtual clock has steps: a wait below one of them would end at once, again and again."""
Answers = asyncio.Queue[bytes | Refused | None]


class MemoryPeerPort:
    """Implements `foxwinch.peer.ports.PeerPort`; made by `MemoryNetwork.join`."""

    def __init__(self, network: "MemoryNetwork", node: NodeId, address: PeerAddress) -> None:
        """Attach `node` at `address`."""
        self.node = node
        self.address = address
        self.handlers = HandlerTable()
        self.open = True
        self._network = network
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connected: dict[PeerAddress, MemoryPeerPort] = {}
        self._gone: asyncio.Event = asyncio.Event()

    async def start(self) -> None:
        """Nothing to bind."""

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave the network."""
        if self._network.ports.get(self.address) is self:
            self._network.kill(self.address)

    def shut(self) -> None:
        """End everything that runs here, as the end of the process does."""
        self.open = False
        self._gone.set()
        for task in list(self._tasks):
            task.cancel()

    def keep(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something that ends with this node."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Serve `method` with one answer."""
        self.handlers.handle(method, handler)

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Serve `method` with a stream of answers."""
        self.handlers.handle_stream(method, handler)

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Give every datagram that arrives to `handler`."""
        self.handlers.handle_datagrams(handler)

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram; raises `ValueError` above the limit, as the UDP side does."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(payload)} bytes; allowed: {MAX_DATAGRAM_BYTES}")
        if self.open:
            self._network.send_datagram(self.address, address, payload)

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Send a request and wait for its one answer."""
        asking = self._ask(address, method, payload, deadline_seconds, stream=False)
        async with aclosing(asking) as answers:
            async for answer in answers:
                return answer
        return LOST

    def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Send a request and iterate over its answers; closing the iterator cancels it."""
        return self._ask(address, method, payload, deadline_seconds, stream=True)

    async def _ask(
        self,
        address: PeerAddress,
        method: str,
        payload: bytes,
        deadline_seconds: float,
        stream: bool,
    ) -> AsyncGenerator[bytes | Refused, None]:
        loop = asyncio.get_running_loop()
        ends_at_seconds = loop.time() + deadline_seconds
        target = await self._connect(address, deadline_seconds)
        if isinstance(target, Refused):
            yield target
            return
        queue: Answers = asyncio.Queue(STREAM_CREDIT)
        context = PeerContext(self.node, max(0.001, ends_at_seconds - loop.time()))
        serving = target.keep(self._serve(target, context, method, payload, queue, stream))
        try:
            while True:
                answer = await self._next(target, queue, ends_at_seconds)
                if answer is END:
                    return
                yield answer
                if not stream or answer in (LOST, LATE):
                    return
        finally:
            serving.cancel()

    async def _connect(
        self, address: PeerAddress, deadline_seconds: float
    ) -> "MemoryPeerPort | Refused":
        """Open a connection; a refusal says that nothing was sent."""
        known = self._connected.get(address)
        if known is not None and known.open:
            return known
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, deadline_seconds)):
                await self._cross(self.address, address)
                await self._cross(address, self.address)
        except TimeoutError:
            return not_run(Reason.PEER_UNREACHABLE, f"no connection to {address} in time", 0.1)
        target = self._network.ports.get(address)
        if target is None or not self.open:
            return not_run(Reason.PEER_UNREACHABLE, f"no connection to {address}: refused", 0.1)
        self._connected[address] = target
        return target

    async def _cross(self, source: PeerAddress, target: PeerAddress) -> None:
        """Wait for one crossing; for ever where the link is cut."""
        await self._network.transfer(source, target)
        if self._network.is_cut(source, target):
            await asyncio.Event().wait()

    async def _serve(
        self,
        target: "MemoryPeerPort",
        context: PeerContext,
        method: str,
        payload: bytes,
        queue: Answers,
        stream: bool,
    ) -> None:
        """Run the request at the target and carry its answers back."""
        if not await self._network.transfer(self.address, target.address):
            return
        if not stream:
            await self._carry(target, await target.handlers.run(context, method, payload), queue)
            return
        async with aclosing(target.handlers.run_stream(context, method, payload)) as answers:
            async for answer in answers:
                if not await self._carry(target, answer, queue):
                    return
        await self._carry(target, END, queue)

    async def _carry(
        self, target: "MemoryPeerPort", answer: bytes | Refused | None, queue: Answers
    ) -> bool:
        await self._network.wait_running(target.address)
        arrived = await self._network.transfer(target.address, self.address)
        if arrived:
            await queue.put(answer)
        return arrived

    async def _next(
        self, target: "MemoryPeerPort", queue: Answers, ends_at_seconds: float
    ) -> bytes | Refused | None:
        """Take the next answer, or find that the connection or the time is over."""
        getting = asyncio.ensure_future(queue.get())
        gone = asyncio.ensure_future(target._gone.wait())
        try:
            return await self._first(target, getting, gone, ends_at_seconds)
        finally:
            getting.cancel()
            gone.cancel()

    async def _first(
        self,
        target: "MemoryPeerPort",
        getting: "asyncio.Future[Any]",
        gone: "asyncio.Future[Any]",
        ends_at_seconds: float,
    ) -> bytes | Refused | None:
        loop = asyncio.get_running_loop()
        silent_until_seconds = loop.time() + SILENCE_TIMEOUT_SECONDS
        while not getting.done():
            until = min(ends_at_seconds, silent_until_seconds)
            await asyncio.wait(
                {getting, gone},
                timeout=max(CLOCK_STEP_SECONDS, until - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            await self._network.wait_running(self.address)
            if getting.done():
                break
            if gone.done():
                self._connected.pop(target.address, None)
                return LOST
            if loop.time() >= ends_at_seconds:
                return LATE
            if loop.time() >= silent_until_seconds:
                if self._is_silent(target):
                    self._connected.pop(target.address, None)
                    return LOST
                silent_until_seconds = loop.time() + SILENCE_TIMEOUT_SECONDS
        answer: bytes | Refused | None = getting.result()
        return answer

    def _is_silent(self, target: "MemoryPeerPort") -> bool:
        """Tell whether a ping would stay without reply just now."""
        network = self._network
        return (
            network.is_cut(self.address, target.address)
            or network.is_cut(target.address, self.address)
            or network.is_paused(target.address)
        )
