"""Coordinator side of grants: places calls, maintains leases and ends grants."""

import asyncio
from collections.abc import Callable

from cachetools import LRUCache

from foxwinch._generated.steward_pb2 import GrantAsk, GrantGiven, SettledCall
from foxwinch.backends.ports import EnginePort
from foxwinch.clock import Clock
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.core.coordinator.actions import Dispatch
from foxwinch.core.coordinator.admission import MIN_RETRY_SECONDS
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.events import CallFailed, CallFinished
from foxwinch.core.coordinator.grant_ledger import LEASE_SECONDS, GrantLedger, GrantRecord
from foxwinch.core.coordinator.hot_prefixes import HotPrefixes
from foxwinch.identifiers import CallId, ClassName, Epoch, NodeId, ProgramId, WorkerId
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.workers.coordinator_messages import request_of, usage_of
from foxwinch.workers.coordinator_pools import CoordinatorPools
from foxwinch.workers.engine_retries import EngineRetries, OperationKey, OperationKind
from foxwinch.workers.pool_driver import PoolDriver
from foxwinch.workers.worker_drains import WorkerDrains

RETRY_AFTER_SECONDS = 0.2
"""Retry delay before the request is sent to another coordinator."""
LOWEST_RANK = 9
"""Rank of a class that the active configuration does not contain."""
MAX_FAILED_CALLS = 4_096
"""Capacity of the LRU map of failed calls, which avoids the workers on which a call has failed."""

log = EventLog("steward")


class CoordinatorGrants:
    """Grants on the workers that this node holds."""

    def __init__(
        self,
        engine: EnginePort,
        clock: Clock,
        configuration: ConfigurationView,
        pools: CoordinatorPools,
        ledger: GrantLedger,
        retries: EngineRetries,
        drains: WorkerDrains,
        on_fenced: Callable[[WorkerId, Epoch], None],
    ) -> None:
        """Place calls in `pools`; `on_fenced` is called if a worker refuses an outdated epoch."""
        self._engine = engine
        self._clock = clock
        self._configuration = configuration
        self._pools = pools
        self._ledger = ledger
        self._retries = retries
        self._drains = drains
        self._on_fenced = on_fenced
        self._hot_prefixes = HotPrefixes()
        self._failed_on: LRUCache[CallId, frozenset[WorkerId]] = LRUCache(MAX_FAILED_CALLS)

    async def acquire(self, owner: NodeId, ask: GrantAsk) -> GrantGiven | Refused:
        """Return a grant when it is issued; cancellation withdraws the request."""
        call = self._pool_call(ask, self._clock.monotonic())
        self._end_previous(call.call_id)
        found = self._pools.serving(call.model, call.class_rank)
        if found is None:
            detail = f"this coordinator has no worker for model {call.model}"
            return not_run(Reason.NOT_OWNER, detail, RETRY_AFTER_SECONDS)
        name, pool = found
        if call.excluded_workers and not pool.serves(call.model, call.excluded_workers):
            # A call that returns found no other coordinator, so these workers are tried again.
            self._failed_on.pop(call.call_id, None)
            detail = "the call has failed on every suitable worker of this coordinator"
            return not_run(Reason.NOT_OWNER, detail, RETRY_AFTER_SECONDS)
        try:
            async with asyncio.timeout(ask.remaining_seconds):
                response = await pool.place(call)
        except TimeoutError:
            wait = max(MIN_RETRY_SECONDS, pool.predicted_wait_seconds(call.class_rank))
            return not_run(Reason.DEADLINE, "no worker was free before the deadline", wait)
        if isinstance(response, Refused):
            return response
        return self._issue_grant(owner, ask, response, pool, name)

    def settle(self, owner: NodeId, settled: SettledCall) -> None:
        """End a grant and apply its usage; an unknown grant is ignored."""
        usage = usage_of(settled)
        record = self._ledger.end(owner, usage.call_id, settled.sequence)
        if record is None:
            return
        if usage.fenced:
            self._fail(record, not_run=True)
            self._on_fenced(record.worker, record.epoch)
            return
        if usage.failed:
            self._record_failure(record, usage.not_run)
            self._fail(record, usage.not_run)
            return
        self._failed_on.pop(usage.call_id, None)
        self._drains.record_run(record.worker)
        pool = self._pools.pool_named(record.pool)
        if pool is not None:
            finished = CallFinished(
                usage.call_id, usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens
            )
            pool.handle(finished)

    def withdraw(self, owner: NodeId, call_id: CallId, sequence: int) -> None:
        """End a grant that was issued while its request was withdrawn."""
        record = self._ledger.end(owner, call_id, sequence)
        if record is not None:
            self._fail(record, not_run=True)
            self._cancel(record)

    def confirm(self, owner: NodeId, call_id: CallId, sequence: int, worker: WorkerId) -> bool:
        """Renew a lease, and return False if the worker is not held by this node."""
        if worker not in self._pools.held():
            return False
        self._ledger.confirm(owner, call_id, sequence, worker, self._clock.monotonic())
        return True

    def expire(self, is_present: Callable[[NodeId], bool]) -> int:
        """End the grants of dead owners and the unconfirmed grants, and return their number."""
        expired = self._ledger.expire(is_present, self._clock.monotonic())
        for record in expired:
            log.info("grant_expired", call=record.call_id, worker=record.worker, node=record.owner)
            self._fail(record, not_run=False)
            self._cancel(record)
        return len(expired)

    def hot_prefixes(self) -> list[int]:
        """Return the prefixes that several calls have shared on this node."""
        return self._hot_prefixes.top()

    def is_running(self, worker: WorkerId, program_id: ProgramId) -> bool:
        """Return whether a call of a program has a grant on a worker."""
        return any(record.program_id == program_id for record in self._ledger.worker_grants(worker))

    def _issue_grant(
        self, owner: NodeId, ask: GrantAsk, dispatch: Dispatch, pool: PoolDriver, pool_name: str
    ) -> GrantGiven | Refused:
        held = self._pools.held().get(dispatch.worker)
        call_id, program_id = CallId(ask.call_id), ProgramId(ask.program_id)
        if held is None:
            pool.withdraw(call_id)
            detail = f"worker {dispatch.worker} is no longer held by this coordinator"
            return not_run(Reason.NOT_OWNER, detail, RETRY_AFTER_SECONDS)
        self._hot_prefixes.use(tuple(ask.prefix_hashes))
        record = GrantRecord(
            call_id, owner, ask.sequence, dispatch.worker, held.epoch, program_id, pool_name
        )
        self._ledger.grant(record, self._clock.monotonic())
        return GrantGiven(
            call_id=ask.call_id,
            worker=dispatch.worker,
            worker_url=held.settings.url,
            epoch=held.epoch,
            priority=dispatch.priority,
            expected_cached_tokens=dispatch.expected_cached_tokens,
            waited_seconds=dispatch.waited_seconds,
            reason=dispatch.reason,
            lease_seconds=LEASE_SECONDS,
            sequence=ask.sequence,
        )

    def _end_previous(self, call_id: CallId) -> None:
        """End the previous grant and pending cancellation of a call that is requested again."""
        record = self._ledger.supersede(call_id)
        if record is not None:
            self._fail(record, not_run=False)
        self._retries.cancel_subject(OperationKind.CANCEL, call_id)

    def _pool_call(self, ask: GrantAsk, now: float) -> PoolCall:
        request = request_of(ask, now)
        return PoolCall(
            call_id=request.call_id,
            program_id=request.program_id,
            tenant=request.tenant,
            class_name=request.class_name,
            class_rank=self._rank(request.class_name),
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            prefix_hashes=request.prefix_hashes,
            service_seconds=request.service_seconds,
            deadline_at_seconds=request.deadline_at_seconds,
            repeatable=request.repeatable,
            tree_id=request.tree_id,
            excluded_workers=tuple(self._failed_on.get(request.call_id, ())),
        )

    def _rank(self, class_name: ClassName) -> int:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return LOWEST_RANK
        ranks = (c.rank for c in snapshot.document.classes if c.name == class_name)
        return next(ranks, LOWEST_RANK)

    def _record_failure(self, record: GrantRecord, not_run: bool) -> None:
        known = self._failed_on.get(record.call_id, frozenset())
        self._failed_on[record.call_id] = known | {record.worker}
        held = self._pools.held().get(record.worker)
        if held is not None:
            held.link.poll_now()
        if not_run and record.program_id is not None:
            self._drains.record_refusal(record.worker, record.program_id)

    def _fail(self, record: GrantRecord, not_run: bool) -> None:
        pool = self._pools.pool_named(record.pool)
        if pool is not None:
            pool.handle(CallFailed(record.call_id, not_run))

    def _cancel(self, record: GrantRecord) -> None:
        worker, call_id = record.worker, record.call_id
        self._retries.submit(
            OperationKey(OperationKind.CANCEL, worker, call_id),
            lambda: self._engine.cancel(worker, call_id),
        )
