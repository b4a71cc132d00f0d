"""Calls in a modelled engine, and the batch steps that produce their tokens."""

from dataclasses import dataclass

from foxwinch.emulator.engine_events import Submit


@dataclass(slots=True, eq=False)
class EngineCall:
    """A call inside the engine, waiting or running."""

    request: Submit
    sequence: int
    """Order of arrival, the tie-break among equal priorities."""
    produced_tokens: int
    """Response tokens produced so far, including those of an earlier run of this call."""
    prefill_tokens_left: int = 0
    cached_tokens: int | None = None
    """Prompt tokens found in the cache when the call first started, None before."""
    pinned_blocks: int = 0
    """Leading blocks that this call pins in the cache."""
    reserved_blocks: int = 0
    """Blocks that are reserved but not yet stored."""
    running: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key that orders by urgency, then by arrival."""
        return (self.request.priority, self.sequence)

    @property
    def context_tokens(self) -> int:
        """Tokens that must be in the cache before the next token can be produced."""
        return self.request.prompt_tokens + self.produced_tokens

    @property
    def output_tokens_left(self) -> int:
        """Response tokens still to be produced."""
        return self.request.output_tokens - self.produced_tokens


@dataclass(frozen=True, slots=True)
class Segment:
    """One or more identical consecutive steps of the batch."""

    start_seconds: float
    step_seconds: float
    steps: int
    decoding: tuple[EngineCall, ...]
    prefill: tuple[tuple[EngineCall, int], ...]
    """Calls that prefill, with their numbers of tokens; if there are any, `steps` is 1."""

    @property
    def end_seconds(self) -> float:
        """Time at which the last step ends."""
        return self.start_seconds + self.step_seconds * self.steps

    def truncated_at(self, now: float) -> "Segment":
        """Return the segment shortened to end with the step that runs at `now`."""
        done = int((now - self.start_seconds) / self.step_seconds) + 1
        steps = max(1, min(self.steps, done))
        return Segment(self.start_seconds, self.step_seconds, steps, self.decoding, self.prefill)
