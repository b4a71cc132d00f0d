"""Registry of request and datagram handlers, and the execution of requests."""

import asyncio
from collections.abc import AsyncGenerator

from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.peer.ports import (
    DatagramHandler,
    PeerAddress,
    PeerContext,
    StreamHandler,
    UnaryHandler,
)


class HandlerTable:
    """Handlers by method name; shared by the TCP and the in-memory implementation."""

    def __init__(self) -> None:
        self._log = EventLog("peer")
        self._unary: dict[str, UnaryHandler] = {}
        self._streams: dict[str, StreamHandler] = {}
        self._datagrams: list[DatagramHandler] = []

    def handle(self, method: str, handler: UnaryHandler) -> None:
        """Register the handler of a unary method."""
        self._unary[method] = handler

    def handle_stream(self, method: str, handler: StreamHandler) -> None:
        """Register the handler of a streaming method."""
        self._streams[method] = handler

    def handle_datagrams(self, handler: DatagramHandler) -> None:
        """Add a handler that receives every datagram."""
        self._datagrams.append(handler)

    async def run(self, context: PeerContext, method: str, payload: bytes) -> bytes | Refused:
        """Run a unary request within its deadline."""
        handler = self._unary.get(method)
        if handler is None:
            return _unknown_method(method)
        try:
            async with asyncio.timeout(context.deadline_seconds):
                return await handler(context, payload)
        except TimeoutError:
            return _deadline(method)
        except Exception as error:
            return self._failed(context, method, error)

    async def run_stream(
        self, context: PeerContext, method: str, payload: bytes
    ) -> AsyncGenerator[bytes | Refused, None]:
        """Run a streaming request within its deadline; a single task must consume the responses."""
        handler = self._streams.get(method)
        if handler is None:
            yield _unknown_method(method)
            return
        answers = handler(context, payload)
        try:
            async with asyncio.timeout(context.deadline_seconds):
                async for answer in answers:
                    yield answer
        except TimeoutError:
            yield _deadline(method)
        except Exception as error:
            yield self._failed(context, method, error)
        finally:
            close = getattr(answers, "aclose", None)
            if close is not None:
                await close()

    def deliver(self, source: PeerAddress, payload: bytes) -> None:
        """Pass a datagram to all datagram handlers."""
        for handler in self._datagrams:
            try:
                handler(source, payload)
            except Exception as error:
                self._log.error("datagram_handler_failed", source=source, cause=repr(error))

    def _failed(self, context: PeerContext, method: str, error: Exception) -> Refused:
        self._log.error(
            "peer_handler_failed", method=method, node=context.sender, cause=repr(error)
        )
        return outcome_unknown(Reason.INTERNAL, f"handler of {method} failed")


def _unknown_method(method: str) -> Refused:
    return not_run(Reason.INVALID_REQUEST, f"this node does not serve the method {method[:80]!r}")


def _deadline(method: str) -> Refused:
    return outcome_unknown(Reason.DEADLINE, f"deadline exceeded while {method} was running")
