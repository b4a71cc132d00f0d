"""Notices of crashes and doubts between nodes, by datagrams.

The shared store tells every node of a crash, but may be slow or down when the caller returns to
another node, and most doubts are never stored. Each node that learns of one by a notice passes it
on to a few random others, so that all nodes know it after a few steps and none sends to all. A node
that starts asks a few others for the losses that are not stored yet. The same datagrams carry the
announcements of sends (`send_witnesses.py`).
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from google.protobuf.message import DecodeError

from foxwinch._generated.crashes_pb2 import CrashNoticesMessage
from foxwinch.clock import Clock
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.core.records.crash_history import (
    Crash,
    Doubt,
    decode_crash,
    decode_doubt,
    encode_crash,
    encode_doubt,
)
from foxwinch.log import EventLog
from foxwinch.records.node_registry import NodeRegistry

FAN_OUT = 6
"""Number of nodes that each node passes a notice on to; one in 400 nodes is then missed."""
COPIES = 2
"""Number of times that a notice is sent, as datagrams may be lost."""
COPY_INTERVAL_SECONDS = 0.01
MAX_DATAGRAM_BYTES = 1_400
MAX_NOTICES = 10
"""Maximum number of notices in a datagram; each has some 100 bytes."""
MAX_UNSTORED = 50
"""Maximum number of notices sent to a node that asks."""
ASK_POLL_SECONDS = 0.02
"""Interval at which a starting node checks whether it knows others."""
ASK_SECONDS = 10.0
"""Time after which a starting node that knows no others stops checking."""
MAX_DATAGRAMS_PER_SECOND = 500
"""Limit of a node; after the loss of many workers, the shared store tells of the others."""
log = EventLog("crash_notices")


class CrashNotice(NamedTuple):
    """A worker that ended or may have ended under a request, or has proved to live after it."""

    fingerprint: str
    loss: Crash | Doubt
    is_cleared: bool = False
    """Whether the worker of a doubt has proved to live."""


class CrashNotices(asyncio.DatagramProtocol):
    """Sends notices and delivers received ones."""

    def __init__(self, registry: NodeRegistry, clock: Clock) -> None:
        """Send to the nodes in `registry`."""
        self._registry = registry
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._bucket: TokenBucket | None = None
        self._dropped = 0
        self._pending: list[CrashNotice] = []
        """Notices that the next datagrams will hold."""
        self.on_notice: Callable[[CrashNotice], bool] = lambda notice: False
        """Handles a notice and returns whether it was new; new ones are passed on."""
        self.list_unstored: Callable[[int], list[CrashNotice]] = lambda most: []
        """Returns at most so many known losses that are not stored."""
        self.on_message: Callable[[CrashNoticesMessage, str], None] = lambda message, sender: None
        """Handles a datagram from `ip:port`, after its notices."""

    async def open(self, host: str, port: int) -> str:
        """Listen on a UDP address, port 0 for a free one; return `ip:port`."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        bound_host, bound_port = transport.get_extra_info("sockname")[:2]
        return f"{bound_host}:{bound_port}"

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, notice: CrashNotice) -> None:
        """Send a notice to a few other nodes, with those that follow at once."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._send_pending)
        self._pending.append(notice)

    def _send_pending(self) -> None:
        pending, self._pending = self._pending, []
        addresses = self._choose_addresses()
        if self._transport is None or not addresses:
            return
        for start in range(0, len(pending), MAX_NOTICES):
            payload = _encode(pending[start : start + MAX_NOTICES])
            self._send_to(addresses, payload)
            for number in range(1, COPIES):
                asyncio.get_running_loop().call_later(
                    number * COPY_INTERVAL_SECONDS, self._send_to, addresses, payload
                )

    async def ask_for_unstored(self) -> None:
        """Ask a few other nodes, once they are known, for the losses that are not stored."""
        give_up_at = self._clock.monotonic() + ASK_SECONDS
        while not self._registry.others and self._clock.monotonic() < give_up_at:
            await self._clock.sleep(ASK_POLL_SECONDS)
        addresses = self._choose_addresses()
        log.info("notices_asked", nodes=len(addresses))
        payload = CrashNoticesMessage(asks=True).SerializeToString()
        for _ in range(COPIES):
            self._send_to(addresses, payload)
            await self._clock.sleep(COPY_INTERVAL_SECONDS)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver the notices of a datagram and pass the new ones on."""
        try:
            message = CrashNoticesMessage.FromString(data)
        except DecodeError as error:
            log.warning("notice_malformed", sender=addr[0], detail=str(error))
            return
        sender = f"{addr[0]}:{addr[1]}"
        if message.asks:
            self._answer(sender)
        for each in message.notices:
            loss = decode_doubt(each.doubt) if each.HasField("doubt") else decode_crash(each.crash)
            notice = CrashNotice(each.fingerprint, loss, each.cleared)
            if self.on_notice(notice):
                self.send(notice)
        self.on_message(message, sender)

    def send_message(self, addresses: list[str], message: CrashNoticesMessage) -> None:
        """Send a datagram to some nodes; it may get lost."""
        self._send_to(addresses, message.SerializeToString())

    def error_received(self, exc: Exception) -> None:
        """Log an error of the socket; the notice is lost."""
        log.info("notice_not_sent", detail=type(exc).__name__)

    def _answer(self, address: str) -> None:
        """Send the losses that are not stored to a node that asked for them."""
        notices = self.list_unstored(MAX_UNSTORED)
        for start in range(0, len(notices), MAX_NOTICES):
            self._send_to([address], _encode(notices[start : start + MAX_NOTICES]))

    def _choose_addresses(self) -> list[str]:
        others = self._registry.others
        chosen: list[str] = []
        while others and len(chosen) < FAN_OUT:
            chosen.append(others.pop(int(self._clock.uniform() * len(others))))
        return chosen

    def _send_to(self, addresses: list[str], payload: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        now = self._clock.monotonic()
        if self._bucket is None:
            rate = MAX_DATAGRAMS_PER_SECOND
            self._bucket = TokenBucket.full(rate, rate, now)
        for address in addresses:
            if len(payload) > MAX_DATAGRAM_BYTES or not self._bucket.try_take(1, now):
                self._drop()
                continue
            host, _, port = address.rpartition(":")
            try:
                self._transport.sendto(payload, (host, int(port)))
            except (ValueError, OverflowError, OSError) as error:
                # Another writer may have registered an address that is none.
                log.warning("notice_not_sent", address=address, detail=type(error).__name__)

    def _drop(self) -> None:
        """Count a datagram that was not sent; log the first and each hundredth one."""
        if self._dropped % 100 == 0:
            log.warning("notice_dropped", dropped=self._dropped + 1)
        self._dropped += 1


def add_notice(message: CrashNoticesMessage, notice: CrashNotice) -> None:
    """Add a notice to a datagram."""
    entry = message.notices.add(fingerprint=notice.fingerprint, cleared=notice.is_cleared)
    if isinstance(notice.loss, Doubt):
        entry.doubt.CopyFrom(encode_doubt(notice.loss))
    else:
        entry.crash.CopyFrom(encode_crash(notice.loss))


def _encode(notices: list[CrashNotice]) -> bytes:
    message = CrashNoticesMessage()
    for notice in notices:
        add_notice(message, notice)
    return message.SerializeToString()
