"""A table and a network without delay for tests of single services; both can be switched off."""

from foxwinch.identifiers import NodeId, RegionName, ZoneName
from foxwinch.node.interfaces import Member, MemberState
from foxwinch.outcomes import Reason, not_run, outcome_unknown
from foxwinch.peer.ports import PeerAddress, PeerContext
from foxwinch.storage.ports import Committed, ConditionFailed, Row, RowPage


class FakeTable:
    def __init__(self):
        self.rows = {}
        self.tokens = {}
        self.down = False
        self.answers_to_lose = 0
        self.transactions = 0

    async def transact(self, transaction):
        if self.down:
            return not_run(Reason.STORE_UNAVAILABLE, "down")
        self.transactions += 1
        if transaction.token not in self.tokens:
            self.tokens[transaction.token] = self._apply(transaction)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "lost")
        return self.tokens[transaction.token]

    def _apply(self, transaction):
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return ConditionFailed(condition.key, row.version if row else 0)
        versions = []
        for write in transaction.writes:
            row = self.rows.pop(write.key, None)
            version = (row.version if row else 0) + 1
            if write.value is not None:
                self.rows[write.key] = Row(write.key, write.value, version)
            versions.append(version)
        return Committed(tuple(versions))

    async def read(self, key):
        if self.down:
            return not_run(Reason.STORE_UNAVAILABLE, "down")
        return self.rows.get(key)

    async def scan(self, prefix, start="", limit=1000):
        if self.down:
            return not_run(Reason.STORE_UNAVAILABLE, "down")
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k >= start)
        following = keys[limit] if len(keys) > limit else None
        return RowPage(tuple(self.rows[key] for key in keys[:limit]), following)


class FakePeers:
    """One node's port into a shared `nodes` map of address to port."""

    def __init__(self, node, address, nodes):
        self.node = node
        self.handlers = {}
        self.nodes = nodes
        nodes[address] = self

    def handle(self, method, handler):
        self.handlers[method] = handler

    async def call(self, address, method, payload, deadline_seconds):
        target = self.nodes.get(address)
        if target is None:
            return not_run(Reason.PEER_UNREACHABLE, "refused")
        return await target.handlers[method](PeerContext(self.node, deadline_seconds), payload)


class FakeMembership:
    def __init__(self, this, members):
        self.this = this
        self.known = members

    def this_member(self):
        return self.this

    def members(self):
        return tuple(self.known.values())

    def subscribe(self, listener):
        pass


def fake_member(number, zone):
    return Member(
        NodeId(f"node-{number}"),
        PeerAddress("127.0.0.1", 9000 + number),
        ZoneName(zone),
        RegionName("cymru"),
        MemberState.ALIVE,
        0,
    )
