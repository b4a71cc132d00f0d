"""Prefixes that several calls share, for the digest by which owners choose a coordinator."""

from collections import OrderedDict

TOP_PREFIXES = 8
"""Prefixes in a digest: 64 bytes, which the gossip budget allows each coordinator."""
BLOCKS_COUNTED = 64
"""Leading blocks of a call that are looked at: longer shared prefixes are rare."""
BLOCKS_KEPT = 2_048
"""Blocks remembered, the least recently used forgotten."""


class HotPrefixes:
    """Counts the blocks of granted calls; a hash is chained over all blocks before it."""

    def __init__(self) -> None:
        """Start with no counts."""
        self._counts: OrderedDict[int, tuple[int, int]] = OrderedDict()

    def use(self, hashes: tuple[int, ...]) -> None:
        """Count a call."""
        for depth, block_hash in enumerate(hashes[:BLOCKS_COUNTED], 1):
            count, _ = self._counts.get(block_hash, (0, depth))
            self._counts[block_hash] = (count + 1, depth)
            self._counts.move_to_end(block_hash)
        while len(self._counts) > BLOCKS_KEPT:
            self._counts.popitem(last=False)

    def top(self) -> list[int]:
        """Return the hashes whose reuse saves most: calls after the first, times blocks."""
        shared = [(h, (n - 1) * depth) for h, (n, depth) in self._counts.items() if n > 1]
        shared.sort(key=lambda item: (-item[1], item[0]))
        return [block_hash for block_hash, _ in shared[:TOP_PREFIXES]]
