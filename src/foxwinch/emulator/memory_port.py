"""Peer port of one node on the in-memory network."""

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

CONNECTION_LOST = outcome_unknown(
    Reason.PEER_UNREACHABLE, "the connection was lost before the response"
)
DEADLINE_EXCEEDED = outcome_unknown(Reason.DEADLINE, "no response before the deadline")
END_OF_STREAM = None
CLOCK_STEP_SECONDS = 1e-5
"""Shortest wait; one below the resolution of a virtual clock would end without advancing it."""
ResponseQueue = asyncio.Queue[bytes | Refused | None]


class MemoryPeerPort:
    """Implements `foxwinch.peer.ports.PeerPort`; created by `MemoryNetwork.join`."""

    def __init__(self, network: "MemoryNetwork", node: NodeId, address: PeerAddress) -> None:
        """Attach `node` at `address`."""
        self.node = node
        self.address = address
        self.handlers = HandlerTable()
        self.open = True
        self._network = network
        self._tasks: set[asyncio.Task[Any]] = set()
        self._connections: dict[PeerAddress, MemoryPeerPort] = {}
        self._closed: asyncio.Event = asyncio.Event()

    async def start(self) -> None:
        """Do nothing, because there is no socket to bind."""

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave the network."""
        if self._network.ports.get(self.address) is self:
            self._network.kill(self.address)

    def close(self) -> None:
        """Cancel all tasks of this node, as the end of its process does."""
        self.open = False
        self._closed.set()
        for task in list(self._tasks):
            task.cancel()

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that is cancelled when this port closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Register a handler that returns one response."""
        self.handlers.handle(method, handler)

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Register a handler that returns a stream of responses."""
        self.handlers.handle_stream(method, handler)

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Register the handler of all incoming datagrams."""
        self.handlers.handle_datagrams(handler)

    def send_datagram(self, address: PeerAddress, payload: bytes) -> None:
        """Send a datagram; raise `ValueError` above the size limit, as the UDP port does."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(payload)} bytes; allowed: {MAX_DATAGRAM_BYTES}")
        if self.open:
            self._network.send_datagram(self.address, address, payload)

    async def call(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> bytes | Refused:
        """Send a request and return its single response."""
        response_stream = self._send_request(
            address, method, payload, deadline_seconds, stream=False
        )
        async with aclosing(response_stream) as responses:
            async for response in responses:
                return response
        return CONNECTION_LOST

    def stream(
        self, address: PeerAddress, method: str, payload: bytes, deadline_seconds: float
    ) -> AsyncIterator[bytes | Refused]:
        """Send a request and iterate over its responses; closing the iterator cancels it."""
        return self._send_request(address, method, payload, deadline_seconds, stream=True)

    async def _send_request(
        self,
        address: PeerAddress,
        method: str,
        payload: bytes,
        deadline_seconds: float,
        stream: bool,
    ) -> AsyncGenerator[bytes | Refused, None]:
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + deadline_seconds
        target = await self._connect(address, deadline_seconds)
        if isinstance(target, Refused):
            yield target
            return
        queue: ResponseQueue = asyncio.Queue(STREAM_CREDIT)
        context = PeerContext(self.node, max(0.001, deadline_at - loop.time()))
        server_task = target.start_task(
            self._serve_request(target, context, method, payload, queue, stream)
        )
        try:
            while True:
                response = await self._next_response(target, queue, deadline_at)
                if response is END_OF_STREAM:
                    return
                yield response
                if not stream or response in (CONNECTION_LOST, DEADLINE_EXCEEDED):
                    return
        finally:
            server_task.cancel()

    async def _connect(
        self, address: PeerAddress, deadline_seconds: float
    ) -> "MemoryPeerPort | Refused":
        """Return an open connection, or a refusal that states that nothing was sent."""
        existing = self._connections.get(address)
        if existing is not None and existing.open:
            return existing
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, deadline_seconds)):
                await self._transfer_once(self.address, address)
                await self._transfer_once(address, self.address)
        except TimeoutError:
            return not_run(Reason.PEER_UNREACHABLE, f"no connection to {address} in time", 0.1)
        target = self._network.ports.get(address)
        if target is None or not self.open:
            return not_run(Reason.PEER_UNREACHABLE, f"no connection to {address}: refused", 0.1)
        self._connections[address] = target
        return target

    async def _transfer_once(self, source: PeerAddress, target: PeerAddress) -> None:
        """Transfer one packet; never return if the link is cut."""
        await self._network.transfer(source, target)
        if self._network.is_cut(source, target):
            await asyncio.Event().wait()

    async def _serve_request(
        self,
        target: "MemoryPeerPort",
        context: PeerContext,
        method: str,
        payload: bytes,
        queue: ResponseQueue,
        stream: bool,
    ) -> None:
        """Run the request at the target and send its responses back."""
        if not await self._network.transfer(self.address, target.address):
            return
        if not stream:
            await self._send_response(
                target, await target.handlers.run(context, method, payload), queue
            )
            return
        async with aclosing(target.handlers.run_stream(context, method, payload)) as responses:
            async for response in responses:
                if not await self._send_response(target, response, queue):
                    return
        await self._send_response(target, END_OF_STREAM, queue)

    async def _send_response(
        self, target: "MemoryPeerPort", response: bytes | Refused | None, queue: ResponseQueue
    ) -> bool:
        await self._network.wait_running(target.address)
        arrived = await self._network.transfer(target.address, self.address)
        if arrived:
            await queue.put(response)
        return arrived

    async def _next_response(
        self, target: "MemoryPeerPort", queue: ResponseQueue, deadline_at: float
    ) -> bytes | Refused | None:
        """Return the next response, or the refusal of a lost connection or passed deadline."""
        next_response = asyncio.ensure_future(queue.get())
        closed = asyncio.ensure_future(target._closed.wait())
        try:
            return await self._wait_for_response(target, next_response, closed, deadline_at)
        finally:
            next_response.cancel()
            closed.cancel()

    async def _wait_for_response(
        self,
        target: "MemoryPeerPort",
        next_response: "asyncio.Future[Any]",
        closed: "asyncio.Future[Any]",
        deadline_at: float,
    ) -> bytes | Refused | None:
        loop = asyncio.get_running_loop()
        silence_deadline_at = loop.time() + SILENCE_TIMEOUT_SECONDS
        while not next_response.done():
            until = min(deadline_at, silence_deadline_at)
            await asyncio.wait(
                {next_response, closed},
                timeout=max(CLOCK_STEP_SECONDS, until - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            await self._network.wait_running(self.address)
            if next_response.done():
                break
            if closed.done():
                self._connections.pop(target.address, None)
                return CONNECTION_LOST
            if loop.time() >= deadline_at:
                return DEADLINE_EXCEEDED
            if loop.time() >= silence_deadline_at:
                if self._is_unresponsive(target):
                    self._connections.pop(target.address, None)
                    return CONNECTION_LOST
                silence_deadline_at = loop.time() + SILENCE_TIMEOUT_SECONDS
        response: bytes | Refused | None = next_response.result()
        return response

    def _is_unresponsive(self, target: "MemoryPeerPort") -> bool:
        """Return whether a ping to the target would get no reply now."""
        network = self._network
        return (
            network.is_cut(self.address, target.address)
            or network.is_cut(target.address, self.address)
            or network.is_paused(target.address)
        )
