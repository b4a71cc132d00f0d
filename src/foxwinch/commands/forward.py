"""Forward requests to the node that serves the program, and serve requests of other nodes.

A request is forwarded at most once.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any, cast

from foxwinch.commands.forward_codec import (
    decode_event,
    decode_request,
    encode_event,
    encode_request,
)
from foxwinch.commands.requests import ProgramRequest
from foxwinch.core.program.call_events import FINAL_EVENTS, ProgramEvent
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.peer.ports import PeerContext, PeerPort, parse_address
from foxwinch.records.program_trees import OwnedElsewhere

FORWARD_METHOD = "program"
DEADLINE_SECONDS = 3_600.0
"""Deadline of one forwarded stream; class deadlines and budgets end calls much earlier."""
UNREACHABLE_RETRY_SECONDS = 1.0


class Forwarder:
    """The client and server side of forwarding between nodes."""

    def __init__(self, peers: PeerPort) -> None:
        """Forward over the streams of `peers`."""
        self._peers = peers
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Return the number of in-flight requests that other nodes forwarded to this one."""
        return self._in_flight

    def serve(
        self, execute_forwarded: Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]
    ) -> None:
        """Serve forwarded requests by means of `execute_forwarded`."""

        async def handle(context: PeerContext, payload: bytes) -> AsyncIterator[bytes | Refused]:
            request = decode_request(payload)
            if request is None:
                yield not_run(Reason.INVALID_REQUEST, "this node does not support the operation")
                return
            events = execute_forwarded(request)
            self._in_flight += 1
            try:
                async with aclosing(cast(Any, events)):
                    async for event in events:
                        yield encode_event(event)
            finally:
                self._in_flight -= 1

        self._peers.handle_stream(FORWARD_METHOD, handle)

    async def forward(
        self, owner: OwnedElsewhere, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        """Forward a request to the node that serves it and iterate over the returned events.

        Closing the iterator closes the stream, so that the other node detects the disconnect.
        """
        address = parse_address(owner.address)
        if address is None:
            yield not_run(Reason.PEER_UNREACHABLE, "the other node has no peer address")
            return
        answers = self._peers.stream(
            address, FORWARD_METHOD, encode_request(request), DEADLINE_SECONDS
        )
        async with aclosing(cast(Any, answers)):
            async for answer in answers:
                if isinstance(answer, Refused):
                    yield _with_retry_after(answer)
                    return
                event = decode_event(answer)
                if event is None:
                    continue
                yield event
                if isinstance(event, FINAL_EVENTS):
                    return
        yield Refused(
            Reason.PEER_UNREACHABLE,
            RunState.UNKNOWN,
            "the node that serves the program ended the stream early",
            UNREACHABLE_RETRY_SECONDS,
        )


def _with_retry_after(refused: Refused) -> Refused:
    """Add a Retry-After by which another node has taken over."""
    retry = refused.retry_after_seconds or UNREACHABLE_RETRY_SECONDS
    return Refused(refused.reason, refused.run_state, refused.detail, retry)
