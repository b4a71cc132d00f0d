"""Programs of failed nodes are taken over without a request for them."""

import asyncio

import pytest

from foxwinch.commands.tree_takeover import SCAN_INTERVAL_SECONDS, TreeTakeover
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.identifiers import NodeId, PeerAddress
from foxwinch.records.partitions import partition_of
from program_fakes import TENANT, Rig

pytestmark = [pytest.mark.looptime]
PROGRAM = scoped_program_id(TENANT, "p")


class Members:
    def __init__(self, *names):
        self.names = names

    def this_member(self):
        return self.members()[0]

    def members(self):
        address = PeerAddress("127.0.0.1", 1)
        return [Member(NodeId(n), address, "z", "r", MemberState.ALIVE, 0) for n in self.names]


async def taken_over_by(rig, members, holder):
    """Let a node scan every partition once; return the nodes whose program trees it took over."""

    async def served(partition):
        return [(PROGRAM, NodeId(holder))] if partition == partition_of(PROGRAM) else []

    rig.trees.served = served
    takeover = TreeTakeover(rig.owner, members)
    await takeover.start()
    await asyncio.sleep(SCAN_INTERVAL_SECONDS + 1.0)
    await takeover.stop()
    return rig.trees.taken_over


async def test_a_program_of_a_departed_node_is_taken_over():
    assert await taken_over_by(Rig(), Members("here"), "gone") == ["gone"]


async def test_a_program_of_a_present_node_is_not_taken_over():
    assert await taken_over_by(Rig(), Members("here", "there"), "there") == []


async def test_each_partition_is_scanned_by_one_node():
    found = [await taken_over_by(Rig(), Members(*names), "gone") for names in ("ab", "ba")]
    assert sorted(found) == [[], ["gone"]]


async def test_a_draining_node_takes_over_no_programs():
    rig = Rig()
    rig.owner.draining = True
    assert await taken_over_by(rig, Members("here"), "gone") == []
