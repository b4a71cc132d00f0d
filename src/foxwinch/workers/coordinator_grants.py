"""The coordinator's side of grants: places calls, keeps leases, takes grants back."""

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
from foxwinch.workers.engine_retries import EngineRetries, RetriedKey, RetriedKind
from foxwinch.workers.pool_driver import PoolDriver
from foxwinch.workers.worker_drains import WorkerDrains

ASK_ELSEWHERE_SECONDS = 0.2
"""When to look for another coordinator."""
LOWEST_RANK = 9
"""Rank of a class that the configuration in force does not know (yet)."""
FAILURES_REMEMBERED = 4_096
"""Calls of which it is known where they failed; they are not sent there again."""

log = EventLog("steward")


class CoordinatorGrants:
    """Grants of the workers that this node holds."""

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
        """Place calls in `pools`; `on_fenced` hears of a worker that refused an epoch as old."""
        self._engine = engine
        self._clock = clock
        self._configuration = configuration
        self._pools = pools
        self._ledger = ledger
        self._retries = retries
        self._drains = drains
        self._on_fenced = on_fenced
        self._hot = HotPrefixes()
        self._failed_on: LRUCache[CallId, frozenset[WorkerId]] = LRUCache(FAILURES_REMEMBERED)

    async def acquire(self, owner: NodeId, ask: GrantAsk) -> GrantGiven | Refused:
        """Wait for a grant; cancelling withdraws the request."""
        call = self._call_of(ask, self._clock.monotonic())
        self._end_earlier(call.call_id)
        found = self._pools.serving(call.model, call.class_rank)
        if found is None:
            detail = f"no worker of model {call.model} is served here"
            return not_run(Reason.NOT_OWNER, detail, ASK_ELSEWHERE_SECONDS)
        name, pool = found
        if call.excluded_workers and not pool.serves(call.model, call.excluded_workers):
            # Whoever comes back has found no better worker and may have these once more.
            self._failed_on.pop(call.call_id, None)
            detail = "every worker that this steward has for the call has failed it"
            return not_run(Reason.NOT_OWNER, detail, ASK_ELSEWHERE_SECONDS)
        try:
            async with asyncio.timeout(ask.remaining_seconds):
                answer = await pool.place(call)
        except TimeoutError:
            wait = max(MIN_RETRY_SECONDS, pool.predicted_wait_seconds(call.class_rank))
            return not_run(Reason.DEADLINE, "no worker was free before the deadline", wait)
        if isinstance(answer, Refused):
            return answer
        return self._give(owner, ask, answer, pool, name)

    def settle(self, owner: NodeId, settled: SettledCall) -> None:
        """Take a grant back with what was used; unknown ones are ignored."""
        usage = usage_of(settled)
        record = self._ledger.end(owner, usage.call_id, settled.sequence)
        if record is None:
            return
        if usage.fenced:
            self._fail(record, not_run=True)
            self._on_fenced(record.worker, record.epoch)
            return
        if usage.failed:
            self._remember_failure(record, usage.not_run)
            self._fail(record, usage.not_run)
            return
        self._failed_on.pop(usage.call_id, None)
        self._drains.ran(record.worker)
        pool = self._pools.pool_named(record.pool)
        if pool is not None:
            finished = CallFinished(
                usage.call_id, usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens
            )
            pool.handle(finished)

    def withdraw(self, owner: NodeId, call_id: CallId, sequence: int) -> None:
        """Take back a grant that crossed the withdrawal of its request."""
        record = self._ledger.end(owner, call_id, sequence)
        if record is not None:
            self._fail(record, not_run=True)
            self._cancel(record)

    def confirm(self, owner: NodeId, call_id: CallId, sequence: int, worker: WorkerId) -> bool:
        """Extend a lease; False when the worker is not held here."""
        if worker not in self._pools.held():
            return False
        self._ledger.confirm(owner, call_id, sequence, worker, self._clock.monotonic())
        return True

    def expire(self, is_present: Callable[[NodeId], bool]) -> int:
        """End the grants of dead owners and those without confirmation; returns how many."""
        expired = self._ledger.expire(is_present, self._clock.monotonic())
        for record in expired:
            log.info("grant_expired", call=record.call_id, worker=record.worker, node=record.owner)
            self._fail(record, not_run=False)
            self._cancel(record)
        return len(expired)

    def hot_prefixes(self) -> list[int]:
        """Return the prefixes that several calls have shared here."""
        return self._hot.top()

    def is_running(self, worker: WorkerId, program_id: ProgramId) -> bool:
        """Tell whether a call of a program has a grant of a worker."""
        return any(record.program_id == program_id for record in self._ledger.on_worker(worker))

    def _give(
        self, owner: NodeId, ask: GrantAsk, dispatch: Dispatch, pool: PoolDriver, pool_name: str
    ) -> GrantGiven | Refused:
        held = self._pools.held().get(dispatch.worker)
        call_id, program_id = CallId(ask.call_id), ProgramId(ask.program_id)
        if held is None:
            pool.withdraw(call_id)
            detail = f"worker {dispatch.worker} has another steward now"
            return not_run(Reason.NOT_OWNER, detail, ASK_ELSEWHERE_SECONDS)
        self._hot.use(tuple(ask.prefix_hashes))
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

    def _end_earlier(self, call_id: CallId) -> None:
        """A call that is asked for again has given up its earlier grant and its cancelling."""
        record = self._ledger.supersede(call_id)
        if record is not None:
            self._fail(record, not_run=False)
        self._retries.drop_subject(RetriedKind.CANCEL, call_id)

    def _call_of(self, ask: GrantAsk, now: float) -> PoolCall:
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

    def _remember_failure(self, record: GrantRecord, not_run: bool) -> None:
        known = self._failed_on.get(record.call_id, frozenset())
        self._failed_on[record.call_id] = known | {record.worker}
        held = self._pools.held().get(record.worker)
        if held is not None:
            held.link.poll_now()
        if not_run and record.program_id is not None:
            self._drains.refused(record.worker, record.program_id)

    def _fail(self, record: GrantRecord, not_run: bool) -> None:
        pool = self._pools.pool_named(record.pool)
        if pool is not None:
            pool.handle(CallFailed(record.call_id, not_run))

    def _cancel(self, record: GrantRecord) -> None:
        worker, call_id = record.worker, record.call_id
        self._retries.submit(
            RetriedKey(RetriedKind.CANCEL, worker, call_id),
            lambda: self._engine.cancel(worker, call_id),
        )
