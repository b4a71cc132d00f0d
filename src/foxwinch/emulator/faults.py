"""Faults of a stand-in service: what goes wrong, and the gate that every request passes.

The same gate serves the stand-ins over HTTP and in process, so that a fault means the same in both.
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
"""Told with a refusal of a service that is down; callers add their own back-off."""
FOREVER_SECONDS = 86_400.0
"""A request that is never answered waits so long; clients give up long before."""


class ServiceFaults(StrictModel):
    """What goes wrong at one service; the default is a service without faults."""

    down: bool = False
    """Refuses every request without effect."""
    silent: bool = False
    """Takes every request and neither acts nor answers."""
    delay_seconds: Seconds = 0.0
    """Before the effect."""
    answer_delay_seconds: Seconds = 0.0
    """After the effect."""
    refuse_probability: Probability = 0.0
    """Refused without effect, as by a service that restarts."""
    lose_answer_probability: Probability = 0.0
    """The effect takes place, the answer is lost."""
    lose_answers: Annotated[int, Field(ge=0)] = 0
    """The answers of the next so many requests are lost after the effect."""
    duplicate_probability: Probability = 0.0
    """The request reaches the service twice, as by a network that repeats it."""
    malformed_probability: Probability = 0.0
    """The answer arrives but cannot be read; the effect took place."""
    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    """Above this rate requests are refused with a retry time."""
    burst: Annotated[float, Field(ge=1)] = 10.0
    lag_seconds: Seconds = 0.0
    """Age of what lists and load reports tell."""


class ToolFaults(ServiceFaults):
    """What goes wrong at the tool services."""

    hung_tools: tuple[str, ...] = ()
    """Tools that run and then never answer."""


class EngineFaults(ServiceFaults):
    """What goes wrong at one engine."""

    leaving: bool = False
    """Refuses new calls, finishes running ones, and tells so in its load."""
    cut_stream_probability: Probability = 0.0
    """A stream breaks half-way, as when the engine dies."""
    event_gap_probability: Probability = 0.0
    """A cache event is lost."""
    event_delay_seconds: Seconds = 0.0
    """Age at which a cache event is published."""


class GateVerdict(StrEnum):
    """What becomes of a request before its effect."""

    PASS = "pass"
    DOWN = "down"
    LIMITED = "limited"


@dataclass(frozen=True, slots=True)
class Gated:
    """The verdict and, where the request was refused, when to come back."""

    verdict: GateVerdict
    retry_after_seconds: float = 0.0


class AnswerFate(StrEnum):
    """What becomes of an answer after the effect."""

    GIVEN = "given"
    LOST = "lost"
    MALFORMED = "malformed"


Result = TypeVar("Result")


class FaultGate:
    """Applies the faults of one service; `faults` may be replaced at any time."""

    def __init__(self, clock: Clock, faults: ServiceFaults | None = None) -> None:
        """Start with `faults`, or without any."""
        self._clock = clock
        self._faults = faults or ServiceFaults()
        self._answers_to_lose = self._faults.lose_answers
        self._bucket: TokenBucket | None = None
        self.requests = 0
        """Requests that reached the service, refused ones included."""

    @property
    def faults(self) -> ServiceFaults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: ServiceFaults) -> None:
        self._faults = faults
        self._answers_to_lose = faults.lose_answers
        self._bucket = None

    async def enter(self) -> Gated:
        """Delay or refuse a request before its effect."""
        self.requests += 1
        faults = self._faults
        if faults.delay_seconds:
            await self._clock.sleep(faults.delay_seconds)
        if faults.silent:
            await self._clock.sleep(FOREVER_SECONDS)
        if faults.down or self._happens(faults.refuse_probability):
            return Gated(GateVerdict.DOWN, UNAVAILABLE_RETRY_SECONDS)
        return self._limited(faults)

    async def leave(self) -> AnswerFate:
        """Delay an answer after the effect, and tell whether it is given."""
        faults = self._faults
        if faults.answer_delay_seconds:
            await self._clock.sleep(faults.answer_delay_seconds)
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            return AnswerFate.LOST
        if self._happens(faults.lose_answer_probability):
            return AnswerFate.LOST
        if self._happens(faults.malformed_probability):
            return AnswerFate.MALFORMED
        return AnswerFate.GIVEN

    def apply(self, effect: Callable[[], Result]) -> Result:
        """Run an effect, twice where the network repeats the request; the later answer counts."""
        if self._happens(self._faults.duplicate_probability):
            effect()
        return effect()

    def _limited(self, faults: ServiceFaults) -> Gated:
        if faults.requests_per_second is None:
            return Gated(GateVerdict.PASS)
        now = self._clock.monotonic()
        if self._bucket is None:
            self._bucket = TokenBucket.full(faults.requests_per_second, faults.burst, now)
        if self._bucket.try_take(1.0, now):
            return Gated(GateVerdict.PASS)
        return Gated(GateVerdict.LIMITED, self._bucket.wait_seconds(1.0, now))

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self._clock.uniform() < probability
