"""The operators' listening side: gRPC with health, reflection, keys, deadlines and size limits."""

import asyncio
import ssl
from collections.abc import Sequence
from typing import Any

from aiomisc import bind_socket
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError
from grpclib.health.check import ServiceStatus
from grpclib.health.service import OVERALL, Health
from grpclib.reflection.service import ServerReflection
from grpclib.server import Server

from foxwinch.operator.authentication import check_operator_key
from foxwinch.operator.handlers import OperatorHandlers

DEFAULT_DEADLINE_SECONDS = 10.0
"""For a request without a deadline."""
MAX_DEADLINE_SECONDS = 60.0
"""A change of the configuration is tried for some 20 s while the table is down."""
MAX_REQUEST_BYTES = 1024 * 1024
"""A cluster configuration of today's size is some 20 KB; requests are small."""
CONNECTION_WINDOW_BYTES = 1024 * 1024
STREAM_WINDOW_BYTES = 64 * 1024
"""What a client may send before a handler reads: keys are checked before that."""
SERVICE_PREFIX = "/foxwinch.v1.Operator/"


class SmallMessageCodec(ProtoCodec):
    """Protobuf with a limit on the size of a request."""

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a request, or refuse one that is too large."""
        if len(data) > MAX_REQUEST_BYTES:
            detail = f"a request may have {MAX_REQUEST_BYTES} bytes; this one has {len(data)}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        return super().decode(data, message_type)


class OperatorServer:
    """Listens for operators; after the start `port` holds the real port."""

    def __init__(
        self,
        handlers: OperatorHandlers,
        key_hashes: Sequence[str],
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Serve `handlers` to holders of a key; without any key hash every request is refused."""
        self.host = host
        self.port = port
        self._handlers = handlers
        self._key_hashes = tuple(key_hashes)
        self._tls = tls
        self._status = ServiceStatus()
        self._server: Server | None = None

    def set_serving(self, serving: bool) -> None:
        """Set what the health service answers."""
        self._status.set(serving)

    async def start(self) -> None:
        """Bind and serve."""
        services: list[Any] = [self._handlers]
        health = Health({self._handlers: [self._status], OVERALL: [self._status]})
        everything = ServerReflection.extend([*services, health])
        self._server = Server(
            everything,
            codec=SmallMessageCodec(),
            config=Configuration(
                http2_connection_window_size=CONNECTION_WINDOW_BYTES,
                http2_stream_window_size=STREAM_WINDOW_BYTES,
            ),
        )
        listen(self._server, RecvRequest, self._admit)
        socket = bind_socket(address=self.host, port=self.port, proto_name="grpc")
        self.port = socket.getsockname()[1]
        await self._server.start(sock=socket, ssl=self._tls)
        self._status.set(True)

    async def stop(self) -> None:
        """Stop listening and end open requests."""
        if self._server is not None:
            self._status.set(False)
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def _admit(self, event: RecvRequest) -> None:
        """Check the key, and bound the time of the handler."""
        if not event.method_name.startswith(SERVICE_PREFIX):
            return
        refused = check_operator_key(event.metadata, self._key_hashes)
        if refused is not None:
            raise GRPCError(Status.UNAUTHENTICATED, refused.detail)
        handle = event.method_func
        seconds = MAX_DEADLINE_SECONDS if event.deadline else DEFAULT_DEADLINE_SECONDS

        async def bounded(stream: Any) -> None:
            try:
                async with asyncio.timeout(seconds):
                    await handle(stream)
            except TimeoutError:
                raise GRPCError(Status.DEADLINE_EXCEEDED, "the deadline has passed") from None

        event.method_func = bounded
