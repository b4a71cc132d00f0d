"""Timeouts after which a call to an unresponsive engine is resumed on another worker.

The timeouts are multiples of the engine latencies at the design size, so that a busy engine does
not time out: before the first event, a call is queued inside the engine and its prompt is computed.
A call with a short deadline reserves half of the remaining time for another worker.
"""

from dataclasses import dataclass

import aiohttp

from foxwinch.http_client import CONNECT_TIMEOUT_SECONDS

FIRST_TOKEN_SECONDS = 1.8
"""Time to first token, 95th percentile at the design size."""
TOKEN_GAP_SECONDS = 0.034
"""Time between two tokens, 95th percentile at the design size."""
FIRST_EVENT_SECONDS = 10 * FIRST_TOKEN_SECONDS
"""Timeout for the first event without a deadline; covers queueing inside the engine."""
EVENT_GAP_SECONDS = 150 * TOKEN_GAP_SECONDS
"""Timeout between two events; covers a call that the engine preempts and recomputes."""
DEADLINE_SHARE = 0.5
"""Share of the remaining time for one worker; the rest is reserved for another worker."""
MIN_TIMEOUT_SECONDS = FIRST_TOKEN_SECONDS
"""Minimum timeout for any deadline; a shorter one would time out healthy engines."""
SECONDS_PER_PROMPT_BYTE = 0.00005
"""Added to the first timeout: 0.2 ms per token of 4 bytes (256 tokens in a step of 49 ms)."""


@dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """Timeouts of one call."""

    first_event_seconds: float
    event_gap_seconds: float


def engine_timeouts(deadline_seconds: float | None, prompt_bytes: int) -> EngineTimeouts:
    """Return the timeouts for a call with the given remaining time; None: no deadline."""
    first, gap = FIRST_EVENT_SECONDS, EVENT_GAP_SECONDS
    if deadline_seconds is not None:
        share = max(MIN_TIMEOUT_SECONDS, DEADLINE_SHARE * deadline_seconds)
        first, gap = min(first, share), min(gap, share)
    return EngineTimeouts(first + prompt_bytes * SECONDS_PER_PROMPT_BYTE, gap)


def first_event_timeout(timeouts: EngineTimeouts) -> aiohttp.ClientTimeout:
    """Return the aiohttp timeout that applies until the first event."""
    return aiohttp.ClientTimeout(
        total=None, connect=CONNECT_TIMEOUT_SECONDS, sock_read=timeouts.first_event_seconds
    )


def apply_event_gap_timeout(response: aiohttp.ClientResponse, timeouts: EngineTimeouts) -> None:
    """Switch a response to the timeout between events; does nothing once it is complete."""
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        connection.protocol.read_timeout = timeouts.event_gap_seconds
        connection.protocol.start_timeout()
