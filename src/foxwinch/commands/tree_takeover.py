"""Take over the programs of failed nodes that receive no further requests.

Otherwise a program whose node has failed would never expire, and its KV cache would never be
released. Each store partition is scanned by one node: the alive member with the highest rendezvous
hash.
"""

from collections.abc import Sequence

import xxhash

from foxwinch.commands.background_task import BackgroundTask
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.core.membership.member import MemberState
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.log import EventLog
from foxwinch.membership.ports import MembershipView
from foxwinch.outcomes import Refused
from foxwinch.records.partitions import PARTITIONS, partition_name

SCAN_INTERVAL_SECONDS = 60.0
"""Interval in which each partition is read once; about 3 KB/s per node at the design size."""
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
log = EventLog("programs")


class TreeTakeover(BackgroundTask):
    """Scans for program trees of nodes that are no longer members."""

    def __init__(self, owner: ProgramOwner, membership: MembershipView) -> None:
        """Take program trees over on behalf of `owner`."""
        super().__init__(owner)
        self._membership = membership

    async def _run(self) -> None:
        while True:
            for number in range(PARTITIONS):
                await self._clock.sleep(SCAN_INTERVAL_SECONDS / PARTITIONS)
                if not self._owner.draining and self._is_scanned_here(number):
                    await self._scan(partition_name(number))

    async def _scan(self, partition: str) -> None:
        served = await self._owner.ports.trees.served(partition)
        if isinstance(served, Refused):
            return
        for root, node in self._orphaned_trees(served):
            located = await self._owner.locate(root, previous_owner=node)
            refused = located.reason.value if isinstance(located, Refused) else ""
            log.info("family_adopted", family=root, from_node=node, refused=refused)

    def _orphaned_trees(
        self, served: Sequence[tuple[ProgramId, NodeId]]
    ) -> list[tuple[ProgramId, NodeId]]:
        present = {m.node for m in self._membership.members() if m.state in PRESENT_STATES}
        return [(root, node) for root, node in served if node not in present]

    def _is_scanned_here(self, number: int) -> bool:
        this_node = self._membership.this_member().node
        alive = {m.node for m in self._membership.members() if m.state is MemberState.ALIVE}
        return (
            max({*alive, this_node}, key=lambda node: (_rendezvous_score(number, node), node))
            == this_node
        )


def _rendezvous_score(number: int, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"{number}\n{node}".encode())
