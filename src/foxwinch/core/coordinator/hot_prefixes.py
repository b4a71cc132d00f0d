"""Prefixes shared by several calls, published so that owners can choose a coordinator."""

from collections import OrderedDict

MAX_PREFIXES = 8
"""Prefixes per digest, which take 64 bytes as allowed by the gossip budget of a coordinator."""
COUNTED_BLOCKS = 64
"""Leading blocks counted per call; longer shared prefixes are rare."""
MAX_TRACKED_BLOCKS = 2_048
"""Capacity of the LRU table of counted blocks."""


class HotPrefixes:
    """Use counts of the blocks of granted calls; each hash covers all preceding blocks."""

    def __init__(self) -> None:
        self._counts: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def use(self, hashes: tuple[int, ...]) -> None:
        """Count the leading blocks of a call."""
        for depth, block_hash in enumerate(hashes[:COUNTED_BLOCKS], 1):
            count, _ = self._counts.get(block_hash, (0, depth))
            self._counts[block_hash] = (count + 1, depth)
            self._counts.move_to_end(block_hash)
        while len(self._counts) > MAX_TRACKED_BLOCKS:
            self._counts.popitem(last=False)

    def top(self) -> list[int]:
        """Return the hashes with the largest savings: calls after the first times blocks."""
        shared = [(h, (n - 1) * depth) for h, (n, depth) in self._counts.items() if n > 1]
        shared.sort(key=lambda item: (-item[1], item[0]))
        return [block_hash for block_hash, _ in shared[:MAX_PREFIXES]]
