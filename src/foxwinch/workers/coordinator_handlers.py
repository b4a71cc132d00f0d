"""Handlers of a coordinator for requests from owners, operators and the issuer of model orders."""

from collections.abc import AsyncIterator, Callable

from google.protobuf.message import DecodeError, Message

from foxwinch._generated.steward_pb2 import (
    GrantAsk,
    GrantGiven,
    GrantReport,
    GrantReportAnswer,
    StewardedWorker,
    StewardedWorkers,
    WorkerOrder,
    WorkerOrderDone,
)
from foxwinch.backends.ports import EnginePort, ModelOrder
from foxwinch.clock import Clock
from foxwinch.core.coordinator.assignment import CoordinatorState
from foxwinch.core.coordinator.grant_ledger import GrantLedger
from foxwinch.identifiers import CallId, ModelName, NodeId, ProgramId, WorkerId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.peer.ports import PeerContext, PeerPort
from foxwinch.workers.coordinator_grants import CoordinatorGrants
from foxwinch.workers.coordinator_messages import (
    ACQUIRE_METHOD,
    DESCRIBE_METHOD,
    ORDER_METHOD,
    REPORT_METHOD,
)
from foxwinch.workers.coordinator_pools import CoordinatorPools
from foxwinch.workers.coordinator_programs import CoordinatorPrograms
from foxwinch.workers.engine_retries import EngineRetries

UNDECODABLE = not_run(Reason.INVALID_REQUEST, "the message could not be decoded")


class CoordinatorHandlers:
    """Implementation of `foxwinch.workers.coordinator_client.CoordinatorEndpoint`."""

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        pools: CoordinatorPools,
        ledger: GrantLedger,
        retries: EngineRetries,
        grants: CoordinatorGrants,
        state_of: Callable[[WorkerId], CoordinatorState],
    ) -> None:
        """Create the handlers; `state_of` returns the state of a worker on this node."""
        self._engine = engine
        self._clock = clock
        self._pools = pools
        self._ledger = ledger
        self._retries = retries
        self._grants = grants
        self._state_of = state_of
        self.programs = CoordinatorPrograms(pools, grants)
        self._orders_epoch = 0

    def serve(self, peers: PeerPort) -> None:
        """Register the handlers for requests of other nodes."""
        peers.handle_stream(ACQUIRE_METHOD, self._handle_acquire)
        peers.handle(REPORT_METHOD, self._handle_report)
        peers.handle(DESCRIBE_METHOD, self._handle_describe)
        peers.handle(ORDER_METHOD, self._handle_order)

    async def acquire(self, owner: NodeId, ask: GrantAsk) -> GrantGiven | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        program_id = ProgramId(ask.program_id)
        self.programs.requested(owner, program_id, ask.sequence)
        response = await self._grants.acquire(owner, ask)
        if not isinstance(response, Refused):
            self.programs.granted(program_id, WorkerId(response.worker))
        return response

    async def report(self, owner: NodeId, report: GrantReport) -> GrantReportAnswer:
        """Process a report, whose items are idempotent.

        The response lists the finished programs whose KV cache is released, and the calls whose
        worker this node does not coordinate.
        """
        response = GrantReportAnswer()
        for settled in report.settled:
            self._grants.settle(owner, settled)
        for withdrawn in report.withdrawn:
            self._grants.withdraw(owner, CallId(withdrawn.call_id), withdrawn.sequence)
        for paused in report.paused:
            self.programs.pause(owner, paused)
        for finished in report.finished:
            if self.programs.finish(finished):
                response.released.append(finished.program_id)
        for held in report.held:
            worker = WorkerId(held.worker)
            if not self._grants.confirm(owner, CallId(held.call_id), held.sequence, worker):
                response.void_calls.append(held.call_id)
        return response

    async def describe(self) -> StewardedWorkers:
        """Return the state of the workers that this node coordinates."""
        return StewardedWorkers(workers=[self._status(worker) for worker in self._pools.held()])

    async def order(self, order: WorkerOrder) -> WorkerOrderDone | Refused:
        """Execute a model order under the worker's epoch, unless its issuer has been replaced."""
        if order.orders_epoch < self._orders_epoch:
            return not_run(Reason.FENCED, "another node with a newer epoch issues model orders")
        self._orders_epoch = order.orders_epoch
        worker = WorkerId(order.worker)
        held = self._pools.held().get(worker)
        if held is None:
            return not_run(Reason.NOT_OWNER, f"worker {worker} is not held by this coordinator")
        model_order = ModelOrder(
            order.token, held.epoch, order.kind, ModelName(order.model), order.value
        )
        done = await self._engine.apply_order(worker, model_order)
        held.link.poll_now()
        return done if isinstance(done, Refused) else WorkerOrderDone()

    def _status(self, worker: WorkerId) -> StewardedWorker:
        held = self._pools.held()[worker]
        status = StewardedWorker(
            worker=worker,
            epoch=held.epoch,
            state=self._state_of(worker),
            leaving=held.leaving,
            granted=len(self._ledger.worker_grants(worker)) + self._ledger.foreign_calls(worker),
            releases_pending=self._retries.pending(worker),
            report_age_seconds=-1.0,  # no load report has been read
        )
        report, reported_at = held.link.report, held.link.reported_at
        if report is not None and reported_at is not None:
            status.running, status.waiting = report.running, report.waiting
            status.cache_blocks_used = report.cache_blocks_used
            status.cache_blocks_total = report.cache_blocks_total
            status.models.extend(report.models)
            status.report_age_seconds = self._clock.monotonic() - reported_at
        return status

    async def _handle_acquire(
        self, context: PeerContext, payload: bytes
    ) -> AsyncIterator[bytes | Refused]:
        ask = GrantAsk()
        if not _decode(ask, payload):
            yield UNDECODABLE
            return
        response = await self.acquire(context.sender, ask)
        yield response if isinstance(response, Refused) else response.SerializeToString()

    async def _handle_report(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        report = GrantReport()
        if not _decode(report, payload):
            return UNDECODABLE
        return (await self.report(context.sender, report)).SerializeToString()

    async def _handle_describe(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        return (await self.describe()).SerializeToString()

    async def _handle_order(self, context: PeerContext, payload: bytes) -> bytes | Refused:
        order = WorkerOrder()
        if not _decode(order, payload):
            return UNDECODABLE
        response = await self.order(order)
        return response if isinstance(response, Refused) else response.SerializeToString()


def _decode(message: Message, payload: bytes) -> bool:
    try:
        message.ParseFromString(payload)
    except DecodeError:
        return False
    return True
