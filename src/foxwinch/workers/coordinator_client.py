"""Asks coordinators: the one of this node directly, the others over the kept streams."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol, TypeVar, cast

from google.protobuf.message import DecodeError, Message

from foxwinch._generated.steward_pb2 import (
    DescribeWorkers,
    GrantAsk,
    GrantGiven,
    GrantReport,
    GrantReportAnswer,
    StewardedWorkers,
    WorkerOrder,
    WorkerOrderDone,
)
from foxwinch.core.membership.member import Member
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.peer.ports import PeerPort
from foxwinch.workers.coordinator_messages import (
    ACQUIRE_METHOD,
    DESCRIBE_METHOD,
    ORDER_METHOD,
    REPORT_METHOD,
)

REPORT_DEADLINE_SECONDS = 2.0
"""A report is repeated anyway; waiting longer would only delay the repetition."""
ORDER_DEADLINE_SECONDS = 120.0
"""Loading a large model within the weight store's rate takes up to a minute or two."""
Answer = TypeVar("Answer", bound=Message)


class CoordinatorEndpoint(Protocol):
    """What a coordinator answers; implemented by the coordinator of this node."""

    async def acquire(self, owner: NodeId, ask: GrantAsk) -> GrantGiven | Refused:
        """Wait for a grant; cancelling withdraws the request."""
        ...

    async def report(self, owner: NodeId, report: GrantReport) -> GrantReportAnswer:
        """Take a report in."""
        ...

    async def describe(self) -> StewardedWorkers:
        """Return the state of the workers that the node holds."""
        ...

    async def order(self, order: WorkerOrder) -> WorkerOrderDone | Refused:
        """Carry out a model order."""
        ...


class CoordinatorClient:
    """Calls any coordinator by its member entry."""

    def __init__(self, node: NodeId, local: CoordinatorEndpoint, peers: PeerPort | None) -> None:
        """Reach `local` directly; `peers` is None in a node without fellow nodes."""
        self._node = node
        self._local = local
        self._peers = peers

    async def acquire(self, coordinator: Member, ask: GrantAsk) -> GrantGiven | Refused:
        """Wait for a grant; cancelling withdraws the request."""
        if coordinator.node == self._node:
            return await self._local.acquire(self._node, ask)
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer side")
        answers = self._peers.stream(
            coordinator.address, ACQUIRE_METHOD, ask.SerializeToString(), ask.remaining_seconds
        )
        async with aclosing(cast(AsyncGenerator[bytes | Refused, None], answers)) as stream:
            async for answer in stream:
                return _parsed(GrantGiven(), answer)
        return outcome_unknown(Reason.PEER_UNREACHABLE, "the steward ended without an answer")

    async def report(self, coordinator: Member, report: GrantReport) -> GrantReportAnswer | Refused:
        """Deliver a report; a refusal leaves open whether it arrived."""
        if coordinator.node == self._node:
            return await self._local.report(self._node, report)
        return await self._call(
            coordinator, REPORT_METHOD, report, GrantReportAnswer(), REPORT_DEADLINE_SECONDS
        )

    async def describe(self, coordinator: Member) -> StewardedWorkers | Refused:
        """Read the state of the coordinator's workers."""
        if coordinator.node == self._node:
            return await self._local.describe()
        return await self._call(
            coordinator,
            DESCRIBE_METHOD,
            DescribeWorkers(),
            StewardedWorkers(),
            REPORT_DEADLINE_SECONDS,
        )

    async def order(self, coordinator: Member, order: WorkerOrder) -> WorkerOrderDone | Refused:
        """Have a model order carried out."""
        if coordinator.node == self._node:
            return await self._local.order(order)
        return await self._call(
            coordinator, ORDER_METHOD, order, WorkerOrderDone(), ORDER_DEADLINE_SECONDS
        )

    async def _call(
        self, coordinator: Member, method: str, request: Message, answer: Answer, deadline: float
    ) -> Answer | Refused:
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer side")
        payload = await self._peers.call(
            coordinator.address, method, request.SerializeToString(), deadline
        )
        return _parsed(answer, payload)


def _parsed(answer: Answer, payload: bytes | Refused) -> Answer | Refused:
    if isinstance(payload, Refused):
        return payload
    try:
        answer.ParseFromString(payload)
    except DecodeError:
        return outcome_unknown(Reason.INTERNAL, "a steward sent an answer that cannot be read")
    return answer
