"""Takes over the programs of nodes that are gone, when nobody else asks for them.

Without it a program whose node has died would never be found idle, and its engine memory would stay
held. Every partition of the store is looked over by one node: the live member that ranks first.
"""

from collections.abc import Sequence

import xxhash

from foxwinch.commands.periodic import PeriodicWork
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.core.membership.member import MemberState
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.log import EventLog
from foxwinch.membership.ports import MembershipView
from foxwinch.outcomes import Refused
from foxwinch.records.partitions import PARTITIONS, partition_name

LOOK_SECONDS = 60.0
"""Every partition is read once in so long: at the design size some 3 KB/s a node."""
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
log = EventLog("programs")


class TreeTakeover(PeriodicWork):
    """Looks for program trees of nodes that are gone."""

    def __init__(self, owner: ProgramOwner, membership: MembershipView) -> None:
        """Take program trees over into `owner`."""
        super().__init__(owner)
        self._membership = membership

    async def _run(self) -> None:
        while True:
            for number in range(PARTITIONS):
                await self._clock.sleep(LOOK_SECONDS / PARTITIONS)
                if not self._owner.closing and self._is_mine(number):
                    await self._look(partition_name(number))

    async def _look(self, partition: str) -> None:
        served = await self._owner.ports.trees.list_trees(partition)
        if isinstance(served, Refused):
            return
        for root, node in self._orphans(served):
            located = await self._owner.locate(root, over=node)
            refused = located.reason.value if isinstance(located, Refused) else ""
            log.info("family_adopted", family=root, from_node=node, refused=refused)

    def _orphans(
        self, served: Sequence[tuple[ProgramId, NodeId]]
    ) -> list[tuple[ProgramId, NodeId]]:
        present = {m.node for m in self._membership.members() if m.state in PRESENT_STATES}
        return [(root, node) for root, node in served if node not in present]

    def _is_mine(self, number: int) -> bool:
        this = self._membership.this_member().node
        alive = {m.node for m in self._membership.members() if m.state is MemberState.ALIVE}
        return max({*alive, this}, key=lambda node: (_score(number, node), node)) == this


def _score(number: int, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"{number}\n{node}".encode())
