"""Calls in a modelled engine and the tokens that each step gives them."""

from dataclasses import dataclass

from foxwinch.emulator.engine_events import Submit


@dataclass(slots=True, eq=False)
class EngineCall:
    """A call inside the engine, waiting or running."""

    order: Submit
    sequence: int
    """Order of arrival, which decides among equal priorities."""
    produced: int
    """Tokens of the answer that exist, those of an earlier run of this call included."""
    prefill_left: int = 0
    cached_tokens: int | None = None
    """Prompt tokens found in the cache at the first start, None before it."""
    pinned: int = 0
    """Leading blocks that this call pins in the cache."""
    reserved: int = 0
    """Blocks reserved and not yet stored."""
    running: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: more urgent first, then earlier."""
        return (self.order.priority, self.sequence)

    @property
    def context_tokens(self) -> int:
        """Tokens that must be in memory before the next one can be produced."""
        return self.order.prompt_tokens + self.produced

    @property
    def output_left(self) -> int:
        """Tokens of the answer still to produce."""
        return self.order.output_tokens - self.produced


@dataclass(frozen=True, slots=True)
class Segment:
    """One or more equal steps of the batch."""

    start_seconds: float
    step_seconds: float
    steps: int
    decoding: tuple[EngineCall, ...]
    prefill: tuple[tuple[EngineCall, int], ...]
    """Calls that prefill in this step and how many tokens; then there is one step."""

    @property
    def end_seconds(self) -> float:
        """When the last step ends."""
        return self.start_seconds + self.step_seconds * self.steps

    def cut_at(self, now: float) -> "Segment":
        """Return the segment ending with the step that runs at `now`."""
        done = int((now - self.start_seconds) / self.step_seconds) + 1
        steps = max(1, min(self.steps, done))
        return Segment(self.start_seconds, self.step_seconds, steps, self.decoding, self.prefill)
