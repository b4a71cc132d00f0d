"""Continuous search for nodes that should be members of the region but are not."""

from collections.abc import Iterable

from foxwinch.core.membership.draws import Draws
from foxwinch.core.membership.regions import RegionDirectory
from foxwinch.core.membership.state import KnowledgeState
from foxwinch.identifiers import PeerAddress

LISTED_ADDRESSES = 1_024
"""Maximum number of addresses taken from the platform's machine list."""
FIRST_TRIES = 3
"""Addresses tried at once while no other member is known."""


class JoinPlan:
    """Chooses join targets among seeds, the platform's list, former members and bridges."""

    def __init__(
        self,
        state: KnowledgeState,
        regions: RegionDirectory,
        draws: Draws,
        seeds: Iterable[PeerAddress],
    ) -> None:
        self._state = state
        self._regions = regions
        self._draws = draws
        self._seeds = tuple(seeds)
        self._listed: tuple[PeerAddress, ...] = ()
        self._next_at_seconds = 0.0
        self._hurry = False
        self._elsewhere: dict[PeerAddress, None] = {}

    def is_elsewhere(self, address: PeerAddress) -> None:
        """Record the address of a node in another region, which is not a missing member."""
        if len(self._elsewhere) < LISTED_ADDRESSES:
            self._elsewhere[address] = None

    def set_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the addresses from the platform's machine list."""
        self._listed = tuple(addresses)[:LISTED_ADDRESSES]

    def news_of_region(self) -> None:
        """Schedule a join now, because the received summary of this region names its bridges."""
        self._hurry = True

    def due(self, now: float) -> list[PeerAddress]:
        """Return the addresses to which a join is due."""
        alone = not self._state.table.present_others()
        if now < self._next_at_seconds and not (alone and self._hurry):
            return []
        self._hurry = False
        parameters = self._state.parameters
        period = parameters.join_period_seconds if alone else parameters.rejoin_period_seconds
        self._next_at_seconds = now + period
        candidates = self._candidates()
        if alone:
            return self._draws.pick(candidates, FIRST_TRIES)
        return self._draws.pick([a for a in candidates if a not in self._elsewhere], 1)

    def _candidates(self) -> list[PeerAddress]:
        table = self._state.table
        found = dict.fromkeys(self._seeds)
        found.update(dict.fromkeys(self._listed))
        found.update(dict.fromkeys(self._state.former))
        found.update(dict.fromkeys(self._regions.own_bridges_heard_of()))
        return [address for address in found if table.present_at(address) is None]
