"""Programs of nodes that are gone are taken over although nobody asks for them."""

import asyncio

import pytest

from foxwinch.commands.tree_takeover import LOOK_SECONDS, TreeTakeover
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


async def adopted_by(rig, members, holder):
    """Let a node look over every partition once; return what it has taken over."""

    async def list_trees(partition):
        return [(PROGRAM, NodeId(holder))] if partition == partition_of(PROGRAM) else []

    rig.trees.list_trees = list_trees
    adoption = TreeTakeover(rig.owner, members)
    await adoption.start()
    await asyncio.sleep(LOOK_SECONDS + 1.0)
    await adoption.stop()
    return rig.trees.taken_over


async def test_a_program_of_a_node_that_is_gone_is_taken_over():
    assert await adopted_by(Rig(), Members("here"), "gone") == ["gone"]


async def test_a_program_of_a_node_that_is_there_is_left_to_it():
    assert await adopted_by(Rig(), Members("here", "there"), "there") == []


async def test_one_node_looks_over_each_partition():
    found = [await adopted_by(Rig(), Members(*names), "gone") for names in ("ab", "ba")]
    assert sorted(found) == [[], ["gone"]]


async def test_a_leaving_node_takes_nothing_over():
    rig = Rig()
    rig.owner.closing = True
    assert await adopted_by(rig, Members("here"), "gone") == []
