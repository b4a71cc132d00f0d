"""Epochs of workers: one holder for each, with and without the table."""

import pytest

from foxwinch.clock import SystemClock
from foxwinch.core.shard.epochs import step_of, term_of
from foxwinch.node.epoch_service import EpochPorts, EpochService
from foxwinch.node.interfaces import EpochClaim
from foxwinch.outcomes import Reason, Refused
from replication_fakes import FakeMembership, FakePeers, FakeTable, fake_member

WORKER = "worker/llm-1"


class Cluster:
    def __init__(self, count=4):
        self.table = FakeTable()
        self.network = {}
        self.members = {}
        members = [fake_member(number, f"zone-{number}") for number in range(count)]
        for member in members:
            self.members[member.node] = member
        self.services = [self._service(member) for member in members]

    def _service(self, member):
        peers = FakePeers(member.node, member.address, self.network)
        membership = FakeMembership(member, self.members)
        return EpochService(EpochPorts(SystemClock(), membership, self.table, peers))

    def kill(self, service):
        member = service._ports.membership.this
        del self.members[member.node]
        del self.network[member.address]


@pytest.fixture
def cluster():
    return Cluster()


async def test_every_raise_is_higher_than_the_one_before(cluster):
    claims = [await service.raise_epoch(WORKER) for service in cluster.services * 2]
    epochs = [claim.epoch for claim in claims]
    assert epochs == sorted(set(epochs))


async def test_lost_answer_of_the_table_is_settled(cluster):
    cluster.table.answers_to_lose = 2
    claim = await cluster.services[0].raise_epoch(WORKER)
    assert isinstance(claim, EpochClaim)
    assert term_of(claim.epoch) == 1
    assert len(cluster.table.tokens) == 1


async def test_majority_raises_while_the_table_is_down_and_a_later_term_wins(cluster):
    first = await cluster.services[0].raise_epoch(WORKER)
    cluster.table.down = True
    second = await cluster.services[1].raise_epoch(WORKER)
    third = await cluster.services[2].raise_epoch(WORKER)
    assert (term_of(third.epoch), step_of(third.epoch)) == (1, 2)
    cluster.table.down = False
    fourth = await cluster.services[3].raise_epoch(WORKER)
    assert first.epoch < second.epoch < third.epoch < fourth.epoch


async def test_nothing_is_raised_without_table_and_majority(cluster):
    await cluster.services[0].raise_epoch(WORKER)
    cluster.table.down = True
    keepers = [s for s in cluster.services if WORKER in s._registers]
    assert len(keepers) == 3
    others = [s for s in cluster.services if s not in keepers]
    for keeper in keepers[:2]:
        cluster.kill(keeper)
    refused = await others[0].raise_epoch(WORKER)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.NO_QUORUM


async def test_an_address_with_another_life_grants_nothing(cluster):
    await cluster.services[0].raise_epoch(WORKER)
    cluster.table.down = True
    keepers = [s for s in cluster.services if WORKER in s._registers]
    asking = next(s for s in cluster.services if s not in keepers)
    for number, keeper in enumerate(keepers[:2]):
        address = keeper._ports.membership.this.address
        cluster.kill(keeper)
        new_life = fake_member(50 + number, "zone-9")
        peers = FakePeers(new_life.node, address, cluster.network)
        EpochService(
            EpochPorts(SystemClock(), FakeMembership(new_life, cluster.members), None, peers)
        )
    assert isinstance(await asking.raise_epoch(WORKER), Refused)
