"""Choice of the witnesses of a request: the nodes that keep a record of its sends.

Every node chooses the same ones from the request's fingerprint. They are in different zones if
there are enough, so that most outlive the failure of one. Any two majorities of the witnesses have
a node in common: what one majority was told, another one knows.
"""

import hashlib
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain, islice, zip_longest
from typing import NamedTuple

WITNESSES = 3
"""Number of witnesses of a request, if there are so many nodes."""
HASH_BYTES = 8


class Peer(NamedTuple):
    """A node that takes datagrams from other nodes."""

    address: str
    """`ip:port`."""
    zone: str


class _Ring(NamedTuple):
    """Names in the order of their hashes."""

    hashes: list[int]
    names: list[str]

    def successors(self, point: int) -> Iterator[str]:
        """Return the names in the order in which their hashes follow a point."""
        start = bisect_left(self.hashes, point)
        total = len(self.names)
        return (self.names[(start + step) % total] for step in range(total))


class WitnessRing:
    """The nodes of each zone on a ring of hashes; a choice takes logarithmic time."""

    def __init__(self, peers: Mapping[str, Peer]) -> None:
        """Choose among nodes by their names."""
        zones: dict[str, list[str]] = {}
        for name, peer in peers.items():
            zones.setdefault(peer.zone, []).append(name)
        self._zones = _ring(zones)
        self._nodes = {zone: _ring(names) for zone, names in zones.items()}

    def choose(self, fingerprint: str) -> list[str]:
        """Return the names of the witnesses of a request, those to be told first in front."""
        return self._choose_at(_hash(fingerprint))

    def partners(self, name: str) -> set[str]:
        """Return the names of the nodes that are witnesses of some request beside node `name`."""
        rings = (self._zones, *self._nodes.values())
        # The choice changes only at the hashes of zones and nodes.
        choices = [self._choose_at(point) for ring in rings for point in (0, *ring.hashes)]
        partners = {each for chosen in choices if name in chosen for each in chosen}
        return partners - {name}

    def _choose_at(self, point: int) -> list[str]:
        zones = list(islice(self._zones.successors(point), WITNESSES))
        candidates = [self._nodes[zone].successors(point) for zone in zones]
        ranked = chain.from_iterable(zip_longest(*candidates))
        return list(islice((name for name in ranked if name is not None), WITNESSES))


def _ring(names: Iterable[str]) -> _Ring:
    hashed = sorted((_hash(name), name) for name in names)
    return _Ring([point for point, _ in hashed], [name for _, name in hashed])


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(errors="surrogatepass"), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest)
