"""Sentences for `programs show`: why a call waited and why it went where it did."""

from foxwinch.core.coordinator.placement import Placement
from foxwinch.core.coordinator.waiting import WaitingCall


def placement_reason(
    waiting: WaitingCall, placement: Placement, cached_tokens: int, now: float
) -> str:
    """Explain a placement; holds no content."""
    waited = now - waiting.arrived_at_seconds
    worker = placement.worker
    how = f"{cached_tokens} of {waiting.call.prompt_tokens} prompt tokens cached"
    if placement.source is not None:
        source = placement.source.description.worker
        how += f", {placement.copied_blocks} blocks copied from {source}"
    return (
        f"waited {waited:.2f} s for a place; {worker.description.worker} had the least predicted"
        f" cost {placement.cost_seconds:.2f} s: {how}, {len(worker.placed)} calls beside it"
    )
