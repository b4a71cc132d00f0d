"""Explanations of placements for `programs show`."""

from foxwinch.core.coordinator.placement import Placement
from foxwinch.core.coordinator.waiting import WaitingCall


def placement_reason(
    waiting: WaitingCall, placement: Placement, cached_tokens: int, now: float
) -> str:
    """Return the explanation of a placement, which contains no prompt content."""
    waited = now - waiting.arrived_at_seconds
    worker = placement.worker
    details = f"{cached_tokens} of {waiting.call.prompt_tokens} prompt tokens cached"
    if placement.source is not None:
        source = placement.source.description.worker
        details += f", {placement.copied_blocks} blocks copied from {source}"
    return (
        f"waited {waited:.2f} s for a slot; {worker.description.worker} had the lowest predicted"
        f" cost {placement.cost_seconds:.2f} s: {details}, {len(worker.placed)} other calls on it"
    )
