"""Construction and decoding of the envelopes of the peer protocol."""

import math

from foxwinch._generated.peer_pb2 import (
    Envelope,
    PeerAnswer,
    PeerCancel,
    PeerCredit,
    PeerHello,
    PeerPing,
    PeerRefusal,
    PeerRequest,
)
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.peer.limits import MIN_PROTOCOL_VERSION, PROTOCOL_VERSION


def hello(node: NodeId) -> Envelope:
    """Return the hello of this node."""
    body = PeerHello(version=PROTOCOL_VERSION, minimum_version=MIN_PROTOCOL_VERSION, node=node)
    return Envelope(hello=body)


def are_versions_compatible(other: PeerHello) -> bool:
    """Return whether both peers support a common protocol version."""
    return other.version >= MIN_PROTOCOL_VERSION and other.minimum_version <= PROTOCOL_VERSION


def request(
    correlation: int, method: str, payload: bytes, deadline_seconds: float, stream: bool
) -> Envelope:
    """Return a request with its remaining time until the deadline."""
    milliseconds = max(1, min(math.ceil(deadline_seconds * 1000), 2**32 - 1))
    body = PeerRequest(
        method=method, payload=payload, deadline_milliseconds=milliseconds, stream=stream
    )
    return Envelope(correlation_id=correlation, request=body)


def answer(correlation: int, value: bytes | Refused, last: bool) -> Envelope:
    """Return a response or a refusal."""
    if isinstance(value, Refused):
        body = PeerAnswer(refusal=_refusal(value), last=last)
    else:
        body = PeerAnswer(payload=value, last=last)
    return Envelope(correlation_id=correlation, answer=body)


def end_of_stream(correlation: int) -> Envelope:
    """Return the marker that ends a complete stream."""
    return Envelope(correlation_id=correlation, answer=PeerAnswer(last=True, empty=True))


def cancel(correlation: int) -> Envelope:
    """Return a cancellation of a request."""
    return Envelope(correlation_id=correlation, cancel=PeerCancel())


def credit(correlation: int, answers: int) -> Envelope:
    """Return flow-control credit for `answers` more responses of a stream."""
    return Envelope(correlation_id=correlation, credit=PeerCredit(answers=answers))


def ping(reply: bool) -> Envelope:
    """Return a ping or a reply to one."""
    return Envelope(ping=PeerPing(reply=reply))


def read_answer(body: PeerAnswer) -> bytes | Refused:
    """Return the payload or the refusal of a response."""
    if not body.HasField("refusal"):
        return body.payload
    refusal = body.refusal
    retry = refusal.retry_after_seconds if refusal.HasField("retry_after_seconds") else None
    return Refused(
        _known_reason(refusal.reason), _known_run_state(refusal.run_state), refusal.detail, retry
    )


def _refusal(refused: Refused) -> PeerRefusal:
    return PeerRefusal(
        reason=refused.reason.value,
        run_state=refused.run_state.value,
        detail=refused.detail,
        retry_after_seconds=refused.retry_after_seconds,
    )


def _known_reason(name: str) -> Reason:
    """Parse a reason; one that only a newer version defines is mapped to `INTERNAL`."""
    try:
        return Reason(name)
    except ValueError:
        return Reason.INTERNAL


def _known_run_state(name: str) -> RunState:
    """Parse a run state; one that this version does not know is mapped to `UNKNOWN`."""
    try:
        return RunState(name)
    except ValueError:
        return RunState.UNKNOWN
