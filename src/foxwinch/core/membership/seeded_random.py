"""Deterministic pseudo-random numbers for choices that should differ between nodes."""

from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")
_MASK = 2**64 - 1


class SeededRandom:
    """SplitMix64 generator; the same seed gives the same sequence, so that runs are repeatable."""

    def __init__(self, seed: int) -> None:
        self._state = seed & _MASK

    def randbelow(self, bound: int) -> int:
        """Return an integer in [0, bound); `bound` must be positive."""
        self._state = (self._state + 0x9E3779B97F4A7C15) & _MASK
        mixed = self._state
        mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
        return (mixed ^ (mixed >> 31)) % bound

    def sample(self, items: Sequence[Item], count: int) -> list[Item]:
        """Return up to `count` distinct items in random order."""
        chosen = list(items)
        take = min(count, len(chosen))
        for index in range(take):
            other = index + self.randbelow(len(chosen) - index)
            chosen[index], chosen[other] = chosen[other], chosen[index]
        return chosen[:take]
