"""Send a request on to the node that serves its program, with one hop; serve what others send."""

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

METHOD = "program"
DEADLINE_SECONDS = 3_600.0
"""Longest stream of one request; the serving node ends calls much earlier by class and budget."""
UNREACHABLE_RETRY_SECONDS = 1.0


class Forwarder:
    """Both ends of the hop between the node that a caller reached and the one that serves."""

    def __init__(self, peers: PeerPort) -> None:
        """Use the streams between nodes."""
        self._peers = peers
        self._served = 0

    @property
    def served(self) -> int:
        """Return the requests of other nodes whose answers are not wholly sent."""
        return self._served

    def serve(self, execute_here: Callable[[ProgramRequest], AsyncIterator[ProgramEvent]]) -> None:
        """Serve requests that other nodes send on."""

        async def handle(context: PeerContext, payload: bytes) -> AsyncIterator[bytes | Refused]:
            request = decode_request(payload)
            if request is None:
                yield not_run(Reason.INVALID_REQUEST, "the operation is not known to this node")
                return
            events = execute_here(request)
            self._served += 1
            try:
                async with aclosing(cast(Any, events)):
                    async for event in events:
                        yield encode_event(event)
            finally:
                self._served -= 1

        self._peers.handle_stream(METHOD, handle)

    async def forward(
        self, served: OwnedElsewhere, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        """Send a request to the node that serves it and iterate over the events that come back.

        Closing the iterator closes the stream, so that the other node sees its follower go.
        """
        address = parse_address(served.address)
        if address is None:
            yield not_run(Reason.PEER_UNREACHABLE, "the other node has no peer side")
            return
        answers = self._peers.stream(address, METHOD, encode_request(request), DEADLINE_SECONDS)
        async with aclosing(cast(Any, answers)):
            async for answer in answers:
                if isinstance(answer, Refused):
                    yield _lost_hop(answer)
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


def _lost_hop(refused: Refused) -> Refused:
    """Tell when to come back: another node will have taken over."""
    retry = refused.retry_after_seconds or UNREACHABLE_RETRY_SECONDS
    return Refused(refused.reason, refused.run_state, refused.detail, retry)
