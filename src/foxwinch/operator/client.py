"""Client of the operator service for the command line; errors are returned as values."""

import ssl
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

from google.protobuf.message import Message
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.events import RecvTrailingMetadata, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError

from foxwinch._generated.operator_grpc import OperatorStub
from foxwinch.gateway.authentication import BEARER_PREFIX
from foxwinch.operator.authentication import AUTHORIZATION_KEY
from foxwinch.operator.refusals import refusal_of
from foxwinch.outcomes import Reason, Refused, RunState, not_run

Method = Callable[[OperatorStub], UnaryUnaryMethod[Any, Any]]


class OperatorClient:
    """A connection to one node's operator service; use as an async context manager."""

    def __init__(
        self, host: str, port: int, key: str, seconds: float, tls: ssl.SSLContext | None = None
    ) -> None:
        """Connect on first use; `seconds` is the timeout of each request."""
        self._channel = Channel(host, port, ssl=tls)
        self._stub = OperatorStub(self._channel)
        self._metadata = {AUTHORIZATION_KEY: f"{BEARER_PREFIX}{key}"}
        self._timeout_seconds = seconds
        self._trailing: dict[str, object] = {}
        listen(self._channel, RecvTrailingMetadata, self._store_trailing)

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        self._channel.close()

    async def query(self, method: Method, request: Message) -> Any | Refused:
        """Send a query, which has no side effects."""
        return await self._call(method, request, is_command=False)

    async def command(self, method: Method, request: Message) -> Any | Refused:
        """Send a command; if its response is lost, the run state of the refusal is `unknown`."""
        return await self._call(method, request, is_command=True)

    async def _call(self, method: Method, request: Message, is_command: bool) -> Any | Refused:
        self._trailing = {}
        try:
            return await method(self._stub)(
                request, timeout=self._timeout_seconds, metadata=self._metadata
            )
        except GRPCError as error:
            return refusal_of(error, self._trailing, is_command)
        except (ConnectionRefusedError, ssl.SSLError) as error:
            return not_run(Reason.PEER_UNREACHABLE, f"cannot connect to the node: {error}")
        except TimeoutError:
            detail = f"no response within {self._timeout_seconds:g} s"
            return Refused(Reason.DEADLINE, _run_state_without_response(is_command), detail)
        except (OSError, StreamTerminatedError) as error:
            detail = f"the connection was lost: {error}"
            return Refused(Reason.PEER_UNREACHABLE, _run_state_without_response(is_command), detail)

    async def _store_trailing(self, event: RecvTrailingMetadata) -> None:
        self._trailing = dict(event.metadata)


def _run_state_without_response(is_command: bool) -> RunState:
    return RunState.UNKNOWN if is_command else RunState.NOT_RUN
