"""How long an engine may be silent before its call is given up and resumed on another worker.

The bounds are multiples of what the design size asks of its engines, so that a busy engine is not
given up: a call waits for its place inside the engine and for its prompt to be computed before the
first event. A class with a short deadline leaves half of what is left of it for another worker.
"""

from dataclasses import dataclass

import aiohttp

from foxwinch.http_exchange import CONNECT_SECONDS

FIRST_TOKEN_SECONDS = 1.8
"""To the first token, for 95 in 100 calls at the design size."""
TOKEN_GAP_SECONDS = 0.034
"""Between two tokens, for 95 in 100 at the design size."""
FIRST_EVENT_SECONDS = 10 * FIRST_TOKEN_SECONDS
"""For headers and first event without a deadline: covers queueing inside the engine."""
EVENT_GAP_SECONDS = 150 * TOKEN_GAP_SECONDS
"""Between two events: covers a call that the engine preempts and computes again."""
DEADLINE_SHARE = 0.5
"""Of what is left of a call's deadline; the rest is for another worker."""
MIN_SECONDS = FIRST_TOKEN_SECONDS
"""Never less, however little is left: a shorter wait would give up engines that are well."""
PROMPT_BYTE_SECONDS = 0.00005
"""Added to the first wait: 0.2 ms for each token of 4 bytes (256 tokens in a step of 49 ms)."""


@dataclass(frozen=True, slots=True)
class EngineWaits:
    """Longest silences of one call, in seconds."""

    first_event_seconds: float
    event_gap_seconds: float


def engine_waits(deadline_seconds: float | None, prompt_bytes: int) -> EngineWaits:
    """Return the bounds for a call with so much left of its deadline; None: no deadline."""
    first, gap = FIRST_EVENT_SECONDS, EVENT_GAP_SECONDS
    if deadline_seconds is not None:
        share = max(MIN_SECONDS, DEADLINE_SHARE * deadline_seconds)
        first, gap = min(first, share), min(gap, share)
    return EngineWaits(first + prompt_bytes * PROMPT_BYTE_SECONDS, gap)


def first_timeout(waits: EngineWaits) -> aiohttp.ClientTimeout:
    """Return the time-out of a request until its first event."""
    return aiohttp.ClientTimeout(
        total=None, connect=CONNECT_SECONDS, sock_read=waits.first_event_seconds
    )


def bound_gaps(response: aiohttp.ClientResponse, waits: EngineWaits) -> None:
    """Let the bound between two events hold from now on; a response that is over has none."""
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = waits.event_gap_seconds
        connection.protocol.start_timeout()
