"""gRPC server for operators, with health, reflection, authentication, deadlines and size limits."""

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
"""Timeout of a request without a deadline."""
MAX_DEADLINE_SECONDS = 60.0
"""Limit of client deadlines; a configuration change is retried for about 20 s during an outage."""
MAX_REQUEST_BYTES = 1024 * 1024
"""Size limit of a request; a typical cluster configuration has about 20 KB."""
CONNECTION_WINDOW_BYTES = 1024 * 1024
STREAM_WINDOW_BYTES = 64 * 1024
"""Data that a client can send before a handler reads it; the key is checked before that."""
SERVICE_PREFIX = "/foxwinch.v1.Operator/"


class SizeLimitedCodec(ProtoCodec):
    """Protobuf codec with a size limit for requests."""

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a request; raise GRPCError if it is too large."""
        if len(data) > MAX_REQUEST_BYTES:
            detail = f"request too large: limit {MAX_REQUEST_BYTES} bytes, got {len(data)}"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, detail)
        return super().decode(data, message_type)


class OperatorServer:
    """gRPC listener for operators; `port` is the actual port once started."""

    def __init__(
        self,
        handlers: OperatorHandlers,
        key_hashes: Sequence[str],
        host: str,
        port: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Serve `handlers` to holders of a key; without any key hash, all requests are rejected."""
        self.host = host
        self.port = port
        self._handlers = handlers
        self._key_hashes = tuple(key_hashes)
        self._tls = tls
        self._status = ServiceStatus()
        self._server: Server | None = None

    def set_serving(self, serving: bool) -> None:
        """Set the status that the health service reports."""
        self._status.set(serving)

    async def start(self) -> None:
        """Bind the socket and start serving."""
        services: list[Any] = [self._handlers]
        health = Health({self._handlers: [self._status], OVERALL: [self._status]})
        all_services = ServerReflection.extend([*services, health])
        self._server = Server(
            all_services,
            codec=SizeLimitedCodec(),
            config=Configuration(
                http2_connection_window_size=CONNECTION_WINDOW_BYTES,
                http2_stream_window_size=STREAM_WINDOW_BYTES,
            ),
        )
        listen(self._server, RecvRequest, self._prepare_request)
        socket = bind_socket(address=self.host, port=self.port, proto_name="grpc")
        self.port = socket.getsockname()[1]
        await self._server.start(sock=socket, ssl=self._tls)
        self._status.set(True)

    async def stop(self) -> None:
        """Stop listening and end requests in flight."""
        if self._server is not None:
            self._status.set(False)
            self._server.close()
            await self._server.wait_closed()
            self._server = None

    async def _prepare_request(self, event: RecvRequest) -> None:
        """Authenticate a request and limit the run time of its handler."""
        if not event.method_name.startswith(SERVICE_PREFIX):
            return
        refused = check_operator_key(event.metadata, self._key_hashes)
        if refused is not None:
            raise GRPCError(Status.UNAUTHENTICATED, refused.detail)
        handle = event.method_func
        timeout_seconds = MAX_DEADLINE_SECONDS if event.deadline else DEFAULT_DEADLINE_SECONDS

        async def handle_with_timeout(stream: Any) -> None:
            try:
                async with asyncio.timeout(timeout_seconds):
                    await handle(stream)
            except TimeoutError:
                raise GRPCError(Status.DEADLINE_EXCEEDED, "deadline exceeded") from None

        event.method_func = handle_with_timeout
