"""Client of coordinators, which calls the local one directly and the others over peer streams."""

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
"""Deadline of a report; a longer one would only delay the retry."""
ORDER_DEADLINE_SECONDS = 120.0
"""Deadline of an order; loading a large model at the weight store's rate takes one to two
minutes."""
Response = TypeVar("Response", bound=Message)


class CoordinatorEndpoint(Protocol):
    """Requests that a coordinator handles, implemented by the coordinator of this node."""

    async def acquire(self, owner: NodeId, ask: GrantAsk) -> GrantGiven | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        ...

    async def report(self, owner: NodeId, report: GrantReport) -> GrantReportAnswer:
        """Process a report."""
        ...

    async def describe(self) -> StewardedWorkers:
        """Return the state of the workers that the node holds."""
        ...

    async def order(self, order: WorkerOrder) -> WorkerOrderDone | Refused:
        """Execute a model order."""
        ...


class CoordinatorClient:
    """Client of any coordinator, addressed by its member entry."""

    def __init__(self, node: NodeId, local: CoordinatorEndpoint, peers: PeerPort | None) -> None:
        """Call `local` for this node; `peers` is None in a single-node deployment."""
        self._node = node
        self._local = local
        self._peers = peers

    async def acquire(self, coordinator: Member, ask: GrantAsk) -> GrantGiven | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        if coordinator.node == self._node:
            return await self._local.acquire(self._node, ask)
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer endpoint")
        responses = self._peers.stream(
            coordinator.address, ACQUIRE_METHOD, ask.SerializeToString(), ask.remaining_seconds
        )
        async with aclosing(cast(AsyncGenerator[bytes | Refused, None], responses)) as stream:
            async for response in stream:
                return _decoded(GrantGiven(), response)
        return outcome_unknown(
            Reason.PEER_UNREACHABLE, "the coordinator closed the stream without a response"
        )

    async def report(self, coordinator: Member, report: GrantReport) -> GrantReportAnswer | Refused:
        """Deliver a report; after a refusal it may still have arrived."""
        if coordinator.node == self._node:
            return await self._local.report(self._node, report)
        return await self._call(
            coordinator, REPORT_METHOD, report, GrantReportAnswer(), REPORT_DEADLINE_SECONDS
        )

    async def describe(self, coordinator: Member) -> StewardedWorkers | Refused:
        """Return the state of the coordinator's workers."""
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
        """Send a model order to a coordinator and wait for its execution."""
        if coordinator.node == self._node:
            return await self._local.order(order)
        return await self._call(
            coordinator, ORDER_METHOD, order, WorkerOrderDone(), ORDER_DEADLINE_SECONDS
        )

    async def _call(
        self,
        coordinator: Member,
        method: str,
        request: Message,
        response: Response,
        deadline: float,
    ) -> Response | Refused:
        if self._peers is None:
            return not_run(Reason.PEER_UNREACHABLE, "this node has no peer endpoint")
        payload = await self._peers.call(
            coordinator.address, method, request.SerializeToString(), deadline
        )
        return _decoded(response, payload)


def _decoded(response: Response, payload: bytes | Refused) -> Response | Refused:
    if isinstance(payload, Refused):
        return payload
    try:
        response.ParseFromString(payload)
    except DecodeError:
        return outcome_unknown(Reason.INTERNAL, "a coordinator response could not be decoded")
    return response
