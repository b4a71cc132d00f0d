"""A policy that knows the remaining work of each program and the output length of each call.

It runs the shortest remaining work first within a class and uses the placement of foxwinch with
exact output lengths. It is a reference and not a proven bound, although no policy without this
knowledge can order calls as well.
"""

from collections.abc import Callable
from dataclasses import replace

from foxwinch.core.coordinator.actions import PoolAction
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.events import CallArrived, PoolEvent
from foxwinch.core.coordinator.policy import Features, policy_for
from foxwinch.core.coordinator.programs import ProgramState
from foxwinch.core.coordinator.scheduler import PoolScheduler
from foxwinch.identifiers import CallId, ClassName

CLASS_STEP_SECONDS = 1_000.0
"""Exceeds the remaining work of any program, so that the class takes precedence."""


class Clairvoyant(PoolScheduler):
    """Run the program with the shortest remaining work first within its class."""

    remaining_seconds: Callable[[CallId], float]
    answer_tokens: Callable[[CallId], int]

    def __init__(self, objective: str) -> None:
        """Use the placement of foxwinch without admission, which matters less for this policy."""
        chosen = "cache" if objective == "cache" else "latency"
        super().__init__(policy_for(chosen, Features(admission=False)))  # type: ignore[arg-type]

    def handle(self, event: PoolEvent, now: float) -> list[PoolAction]:
        """Replace the requested output bound by the true output length."""
        if isinstance(event, CallArrived):
            tokens = self.answer_tokens(event.call.call_id)
            own_class = ClassName(event.call.call_id)
            exact = replace(event.call, output_tokens=tokens, class_name=own_class)
            event = CallArrived(exact)
        return super().handle(event, now)

    def order_key(
        self, call: PoolCall, tree: ProgramState, expected_seconds: float, now: float
    ) -> float:
        """Order by class, then by remaining work."""
        return CLASS_STEP_SECONDS * call.class_rank + self.remaining_seconds(call.call_id)
