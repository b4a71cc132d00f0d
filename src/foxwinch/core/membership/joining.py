"""Continuous search for nodes that should be members of the region but are not."""

from collections.abc import Iterable

from foxwinch.core.membership.regions import RegionDirectory
from foxwinch.core.membership.seeded_random import SeededRandom
from foxwinch.core.membership.state import GossipState
from foxwinch.identifiers import PeerAddress

MAX_LISTED_ADDRESSES = 1_024
"""Maximum number of addresses taken from the platform's machine list."""
INITIAL_JOIN_ATTEMPTS = 3
"""Addresses tried at once while no other member is known."""


class JoinScheduler:
    """Chooses join targets among seeds, the platform's list, former members and bridges."""

    def __init__(
        self,
        state: GossipState,
        regions: RegionDirectory,
        rng: SeededRandom,
        seeds: Iterable[PeerAddress],
    ) -> None:
        self._state = state
        self._regions = regions
        self._rng = rng
        self._seeds = tuple(seeds)
        self._listed: tuple[PeerAddress, ...] = ()
        self._next_at_seconds = 0.0
        self._join_early = False
        self._remote_addresses: dict[PeerAddress, None] = {}

    def add_remote_address(self, address: PeerAddress) -> None:
        """Record the address of a node in another region, which is not a missing member."""
        if len(self._remote_addresses) < MAX_LISTED_ADDRESSES:
            self._remote_addresses[address] = None

    def set_listed_addresses(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the addresses from the platform's machine list."""
        self._listed = tuple(addresses)[:MAX_LISTED_ADDRESSES]

    def region_summary_received(self) -> None:
        """Schedule a join now, because the received summary of this region names its bridges."""
        self._join_early = True

    def due(self, now: float) -> list[PeerAddress]:
        """Return the addresses to which a join is due."""
        alone = not self._state.table.present_others()
        if now < self._next_at_seconds and not (alone and self._join_early):
            return []
        self._join_early = False
        parameters = self._state.parameters
        period = parameters.join_period_seconds if alone else parameters.rejoin_period_seconds
        self._next_at_seconds = now + period
        candidates = self._candidates()
        if alone:
            return self._rng.sample(candidates, INITIAL_JOIN_ATTEMPTS)
        return self._rng.sample([a for a in candidates if a not in self._remote_addresses], 1)

    def _candidates(self) -> list[PeerAddress]:
        table = self._state.table
        found = dict.fromkeys(self._seeds)
        found.update(dict.fromkeys(self._listed))
        found.update(dict.fromkeys(self._state.former_addresses))
        found.update(dict.fromkeys(self._regions.own_bridges_from_summary()))
        return [address for address in found if table.present_at(address) is None]
