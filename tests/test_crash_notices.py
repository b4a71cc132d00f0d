"""Notices of crashes and doubts between nodes, over UDP on loopback."""

import asyncio

import pytest

from fake_platform import wait_until
from foxwinch.clock import SystemClock
from foxwinch.core.records.crash_history import Crash, Doubt
from foxwinch.serving.crash_notices import MAX_NOTICES, CrashNotice, CrashNotices

LOSSES = [Crash("w1/5", 1_000, False), Doubt("w2", 2_000, 3_000)]


class Registry:
    """A list of node addresses."""

    def __init__(self):
        self.others = []


async def open_nodes(count):
    """Return the notices of some nodes that know each other, and what each has received."""
    nodes, received = [], []
    for _ in range(count):
        notices, got = CrashNotices(Registry(), SystemClock()), []
        notices.on_notice = lambda notice, got=got: notice not in got and not got.append(notice)
        notices.address = await notices.open("127.0.0.1", 0)
        nodes.append(notices)
        received.append(got)
    for node in nodes:
        node._registry.others = [each.address for each in nodes if each is not node]
    return nodes, received


@pytest.mark.parametrize("loss", LOSSES)
async def test_a_notice_reaches_all_nodes_once(loss):
    nodes, received = await open_nodes(5)
    notice = CrashNotice("f1", loss)
    nodes[0].send(notice)
    for got in received[1:]:
        await wait_until(lambda got=got: copy_of(got), [notice])
    for node in nodes:
        node.close()


async def test_notices_of_one_moment_share_datagrams():
    nodes, received = await open_nodes(2)
    sent = [CrashNotice(f"f{number}", LOSSES[0]) for number in range(3 * MAX_NOTICES)]
    datagrams = []
    nodes[0]._send_to = lambda addresses, payload: datagrams.append(payload)
    for notice in sent:
        nodes[0].send(notice)
    await asyncio.sleep(0.1)
    assert len(datagrams) == 2 * 3
    for payload in datagrams:
        nodes[1].datagram_received(payload, ("127.0.0.1", 1))
    assert received[1] == sent
    for node in nodes:
        node.close()


# Guards against losses that only notices tell of, and that a node started later does not know.
async def test_a_node_that_starts_learns_the_losses_that_are_not_stored():
    nodes, received = await open_nodes(3)
    known = [CrashNotice(f"f{number}", loss) for number, loss in enumerate(LOSSES)]
    for node in nodes[:2]:
        node.list_unstored = lambda most: known[:most]
    await nodes[2].ask_for_unstored()
    await wait_until(lambda: copy_of(received[2]), known)
    for node in nodes:
        node.close()


async def copy_of(notices):
    """Return received notices in the order of their fingerprints."""
    return sorted(notices, key=lambda notice: notice.fingerprint)
