"""Faults of an emulated service, and the gate that applies them to every request.

The emulated services use the same gate over HTTP and in process, so that a fault means the same in
both.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, TypeVar

from pydantic import Field

from foxwinch.clock import Clock
from foxwinch.core.limits.token_bucket import TokenBucket
from foxwinch.settings.base import StrictModel

Probability = Annotated[float, Field(ge=0, le=1)]
Seconds = Annotated[float, Field(ge=0, le=86_400)]
UNAVAILABLE_RETRY_SECONDS = 1.0
"""Retry time that a service that is down returns; callers add their own backoff."""
HANG_SECONDS = 86_400.0
"""Time that a request without a response is held; clients time out long before."""


class ServiceFaults(StrictModel):
    """Faults of one service; the defaults describe a service without faults."""

    down: bool = False
    """Every request is refused without effect."""
    silent: bool = False
    """Every request is accepted, but has no effect and gets no response."""
    delay_seconds: Seconds = 0.0
    """Delay before the effect."""
    answer_delay_seconds: Seconds = 0.0
    """Delay of the response after the effect."""
    refuse_probability: Probability = 0.0
    """Probability that a request is refused without effect, as by a restarting service."""
    lose_answer_probability: Probability = 0.0
    """Probability that a response is lost after the effect."""
    lose_answers: Annotated[int, Field(ge=0)] = 0
    """Number of next requests whose responses are lost after the effect."""
    duplicate_probability: Probability = 0.0
    """Probability that a request reaches the service twice, as when the network duplicates it."""
    malformed_probability: Probability = 0.0
    """Probability that a response is malformed after the effect."""
    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    """Rate above which requests are refused with a retry time; None disables the limit."""
    burst: Annotated[float, Field(ge=1)] = 10.0
    lag_seconds: Seconds = 0.0
    """Age of the data in lists and load reports."""


class ToolFaults(ServiceFaults):
    """Faults of the tool services."""

    hung_tools: tuple[str, ...] = ()
    """Tools that run and then never respond."""


class EngineFaults(ServiceFaults):
    """Faults of one engine."""

    leaving: bool = False
    """The engine refuses new calls, finishes running ones, and reports this in its load."""
    cut_stream_probability: Probability = 0.0
    """Probability that a stream breaks half-way, as when the engine crashes."""
    event_gap_probability: Probability = 0.0
    """Probability that a cache event is lost."""
    event_delay_seconds: Seconds = 0.0
    """Delay before a cache event is published."""


class GateVerdict(StrEnum):
    """Decision on a request before its effect."""

    PASS = "pass"
    DOWN = "down"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class GateDecision:
    """A verdict and, for a refused request, the time after which to retry."""

    verdict: GateVerdict
    retry_after_seconds: float = 0.0


class ResponseOutcome(StrEnum):
    """Outcome of sending a response after the effect."""

    DELIVERED = "given"
    LOST = "lost"
    MALFORMED = "malformed"


Result = TypeVar("Result")


class FaultGate:
    """Applies the faults of one service; `faults` may be replaced at any time."""

    def __init__(self, clock: Clock, faults: ServiceFaults | None = None) -> None:
        """Start with `faults`; None means no faults."""
        self._clock = clock
        self._faults = faults or ServiceFaults()
        self._responses_to_lose = self._faults.lose_answers
        self._bucket: TokenBucket | None = None
        self.requests = 0
        """Number of requests that reached the service, including refused ones."""

    @property
    def faults(self) -> ServiceFaults:
        """Active faults; setting them resets the rate limit and the responses to lose."""
        return self._faults

    @faults.setter
    def faults(self, faults: ServiceFaults) -> None:
        self._faults = faults
        self._responses_to_lose = faults.lose_answers
        self._bucket = None

    async def enter(self) -> GateDecision:
        """Delay a request before its effect and decide whether it is refused."""
        self.requests += 1
        faults = self._faults
        if faults.delay_seconds:
            await self._clock.sleep(faults.delay_seconds)
        if faults.silent:
            await self._clock.sleep(HANG_SECONDS)
        if faults.down or self._draw(faults.refuse_probability):
            return GateDecision(GateVerdict.DOWN, UNAVAILABLE_RETRY_SECONDS)
        return self._check_rate_limit(faults)

    async def leave(self) -> ResponseOutcome:
        """Delay a response after the effect and decide whether it is delivered."""
        faults = self._faults
        if faults.answer_delay_seconds:
            await self._clock.sleep(faults.answer_delay_seconds)
        if self._responses_to_lose > 0:
            self._responses_to_lose -= 1
            return ResponseOutcome.LOST
        if self._draw(faults.lose_answer_probability):
            return ResponseOutcome.LOST
        if self._draw(faults.malformed_probability):
            return ResponseOutcome.MALFORMED
        return ResponseOutcome.DELIVERED

    def apply(self, effect: Callable[[], Result]) -> Result:
        """Run an effect, twice if the request is duplicated, and return the last result."""
        if self._draw(self._faults.duplicate_probability):
            effect()
        return effect()

    def _check_rate_limit(self, faults: ServiceFaults) -> GateDecision:
        if faults.requests_per_second is None:
            return GateDecision(GateVerdict.PASS)
        now = self._clock.monotonic()
        if self._bucket is None:
            self._bucket = TokenBucket.full(faults.requests_per_second, faults.burst, now)
        if self._bucket.try_take(1.0, now):
            return GateDecision(GateVerdict.PASS)
        return GateDecision(GateVerdict.LIMITED, self._bucket.wait_seconds(1.0, now))

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self._clock.uniform() < probability
