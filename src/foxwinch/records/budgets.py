"""Program budgets, leased from the shared store for several turns at a time.

Each program has one row, which is changed on condition of its version. A turn whose tokens the node
has already leased starts at once; any other turn waits for a change of the row. After an idle
period the node reports the used tokens and returns the rest. `core.records.account` has the rules.
"""

import asyncio
import itertools
from dataclasses import dataclass, field

from cachetools import LRUCache

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.records.account import (
    LEASE_MS,
    Account,
    AdvanceLease,
    ClockBounds,
    Exhausted,
    RecordChange,
    ReservationRequest,
)
from foxwinch.core.records.budget import BudgetRecord
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import Conflict, RowCondition, RowKey, RowWrite, Written
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS
from foxwinch.records.store_state import ObservedStore
from foxwinch.service_tasks import ServiceTasks

BUDGETS_TABLE = "budgets"
IDLE_SECONDS = 1.2
"""Idle time of a program after which its lease is returned; most pauses are shorter."""
DEGRADED_EXTRA_IDLE_SECONDS = 1.5
"""Additional idle time while the store is degraded."""
WRITE_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
MIN_WAIT_SECONDS = 0.001
PROBE_INTERVAL_SECONDS = 0.4
"""Minimum interval between a node's background changes while the store is degraded."""
OPEN_TURN_POLL_SECONDS = 0.05
"""Poll interval for an idle program with an open turn."""
BACKGROUND_BACKOFF = Backoff(base_seconds=0.2, cap_seconds=1.6)
"""Backoff of background changes, slower than `WRITE_BACKOFF` to spare a store that is down."""
BLOCKED_POLL_SECONDS = 0.15
"""Retry interval of a turn that waits for other nodes to return their leases."""
BLOCKED_RETRY_AFTER_SECONDS = 0.5
MAX_CACHED_SPENT = 20_000
"""Number of programs whose spent tokens stay cached, least recently used ones evicted first."""
log = EventLog("budgets")


@dataclass(frozen=True, slots=True)
class Reserved:
    """The tokens are reserved for the request until it is settled."""

    waited_seconds: float
    leased: bool
    """Whether the node had already leased the tokens."""


@dataclass(slots=True, eq=False)
class _PendingReservation:
    request: ReservationRequest
    deadline_at: float
    waiting_since: float
    result_future: "asyncio.Future[Reserved | Exhausted | Refused]"


@dataclass(slots=True, eq=False)
class _ProgramState:
    """State of one program with a lease or unreported tokens at this node."""

    row: RowKey
    account: Account
    waiting: list[_PendingReservation] = field(default_factory=list)
    advance_lease: AdvanceLease | None = None
    """Lease parameters of its last turn."""
    lease_is_low: bool = False
    """Whether the lease is too small for another turn."""
    last_used_at: float = 0.0
    wake_event: asyncio.Event = field(default_factory=asyncio.Event)
    release_requested: bool = False
    """Whether to return the lease without waiting for an idle period."""


class BudgetLedger:
    """Reserves and settles tokens of program budgets."""

    def __init__(self, store: ObservedStore, clock: Clock, tasks: ServiceTasks, node: str) -> None:
        """Create a ledger; `node` must be unique to this run of the process."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._node = node
        self._programs: dict[str, _ProgramState] = {}
        self._sequences = itertools.count(1)
        self._next_probe_at = 0.0
        self._spent: LRUCache[str, int] = LRUCache(MAX_CACHED_SPENT)

    @property
    def programs(self) -> int:
        """Return the number of programs with a lease or unreported tokens."""
        return len(self._programs)

    async def reserve(
        self,
        program_id: str,
        request: ReservationRequest,
        deadline_at: float,
        turn_deadline_at: float,
    ) -> Reserved | Exhausted | Refused:
        """Reserve tokens for a turn that ends by `turn_deadline_at`.

        The turn may run only if the result is `Reserved`. Both deadlines are on the monotonic
        clock; the reservation is refused with run state `not_run` at `deadline_at`.

        Spent tokens in the store only grow, so a budget that they already exceed is rejected
        without a store call. This protects the store from programs that retry in endless loops.
        """
        spent = self._spent.get(program_id, 0)
        if spent + request.tokens > request.budget:
            return Exhausted(spent)
        program = self._get_program(program_id)
        now = self._clock.monotonic()
        program.advance_lease = AdvanceLease(request.tokens, request.budget)
        if program.account.try_reserve(request, turn_deadline_at):
            if program.account.available() < request.tokens:
                program.lease_is_low = True
                program.wake_event.set()
            return Reserved(0.0, leased=True)
        result_future: asyncio.Future[Reserved | Exhausted | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _PendingReservation(request, deadline_at, now, result_future)
        program.waiting.append(waiting)
        program.wake_event.set()
        try:
            async with asyncio.timeout(max(0.0, deadline_at - now)):
                return await result_future
        except TimeoutError:
            return not_run(Reason.STORE_UNAVAILABLE, "the store did not respond in time")
        finally:
            if waiting in program.waiting:
                program.waiting.remove(waiting)

    def settle(self, program_id: str, request_id: str, used: int) -> None:
        """Close a turn that used `used` of its reserved tokens."""
        program = self._get_program(program_id)
        program.account.settle(request_id, used)

    def release_all(self) -> None:
        """Return all leases without waiting for idle programs, for a graceful shutdown."""
        for program in self._programs.values():
            program.release_requested = True
            program.wake_event.set()

    def _get_program(self, program_id: str) -> _ProgramState:
        program = self._programs.get(program_id)
        if program is None:
            row = RowKey(BUDGETS_TABLE, partition_of(program_id), program_id)
            program = _ProgramState(row, Account(self._node, self._sequences))
            self._programs[program_id] = program
            self._tasks.start(self._run_program(program_id, program))
        program.last_used_at = self._clock.monotonic()
        return program

    async def _run_program(self, program_id: str, program: _ProgramState) -> None:
        """Send a program's changes until it is idle and has nothing left to report."""
        attempt = 0
        while True:
            needs_lease = await self._wait_for_work(program)
            if (
                not needs_lease
                and not program.account.needs_store_update
                and not program.account.open_turns
            ):
                break
            if not needs_lease and program.account.open_turns:
                program.last_used_at = self._clock.monotonic()
                await self._clock.sleep(OPEN_TURN_POLL_SECONDS)
                continue
            if not program.waiting and not self._may_write_in_background():
                await self._wait_before_retry(
                    program, PROBE_INTERVAL_SECONDS * (1 + self._clock.uniform())
                )
                continue
            refused = await self._write(program, release=not needs_lease)
            if refused is None:
                attempt = 0
                continue
            wait = self._backoff_seconds(program, attempt)
            attempt += 1
            self._refuse_expiring(program, refused, wait)
            await self._wait_before_retry(program, wait)
        del self._programs[program_id]

    def _may_write_in_background(self) -> bool:
        """Return whether a background change may be sent now.

        While the store is degraded, one background change per interval probes whether it is back.
        """
        now = self._clock.monotonic()
        if self._store.is_degraded() and now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_SECONDS
        return True

    def _backoff_seconds(self, program: _ProgramState, attempt: int) -> float:
        backoff = WRITE_BACKOFF if program.waiting else BACKGROUND_BACKOFF
        return backoff.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())

    async def _wait_before_retry(self, program: _ProgramState, wait: float) -> None:
        """Wait before the next attempt; a new turn ends a background wait early."""
        if program.waiting:
            await self._clock.sleep(wait)
            return
        program.wake_event.clear()
        try:
            async with asyncio.timeout(wait):
                while not program.waiting:
                    await program.wake_event.wait()
                    program.wake_event.clear()
        except TimeoutError:
            return

    async def _wait_for_work(self, program: _ProgramState) -> bool:
        """Wait until turns need tokens or the program is idle; return whether turns need tokens."""
        while True:
            if program.waiting or program.lease_is_low:
                return True
            wait = self._idle_at(program) - self._clock.monotonic()
            if wait < MIN_WAIT_SECONDS or program.release_requested:
                return False
            program.wake_event.clear()
            try:
                async with asyncio.timeout(wait):
                    await program.wake_event.wait()
            except TimeoutError:
                continue

    def _idle_at(self, program: _ProgramState) -> float:
        idle_at = program.last_used_at + IDLE_SECONDS
        return idle_at + DEGRADED_EXTRA_IDLE_SECONDS if self._store.is_degraded() else idle_at

    async def _write(self, program: _ProgramState, release: bool) -> Refused | None:
        """Send one change; return the refusal if the store refused it or did not respond."""
        account = program.account
        now = self._clock.monotonic()
        clock = self._store.store_clock
        if not clock.is_known:
            return not_run(Reason.STORE_UNAVAILABLE, "the store's clock is not known yet")
        earliest_ms = clock.earliest_ms(now)
        clock_bounds = ClockBounds(earliest_ms, clock.earliest_reached_at(earliest_ms + LEASE_MS))
        advance_lease = None if release else program.advance_lease
        change = account.plan(
            tuple(entry.request for entry in program.waiting), advance_lease, clock_bounds
        )
        program.lease_is_low = False
        account.mark_sent(change)
        result = await self._store.transact(
            (RowCondition(program.row, change.version),),
            (RowWrite(program.row, change.record.encode()),),
            CALL_TIMEOUT_SECONDS,
        )
        match result:
            case Refused():
                if result.run_state is RunState.NOT_RUN:
                    account.mark_refused(change)
                return result
            case Conflict():
                self._adopt_row(program, result)
            case Written():
                account.mark_applied(change, result.version)
                self._cache_spent(program)
                await self._resolve_waiting(program, change)
        return None

    def _cache_spent(self, program: _ProgramState) -> None:
        spent = program.account.record.spent
        self._spent[program.row.key] = max(spent, self._spent.get(program.row.key, 0))

    def _adopt_row(self, program: _ProgramState, conflict: Conflict) -> None:
        """Adopt the stored row after a conflict."""
        record, version = BudgetRecord(), 0
        for row in conflict.rows:
            if row.row.key == program.row.key and row.value is not None:
                record, version = BudgetRecord.decode(row.value), row.version
        applied = program.account.reconcile(record, version)
        self._cache_spent(program)
        if applied is not None:
            self._grant(program, applied)

    async def _resolve_waiting(self, program: _ProgramState, change: RecordChange) -> None:
        self._grant(program, change)
        for entry in list(program.waiting):
            exhausted = change.exhausted.get(entry.request.request_id)
            if exhausted is not None:
                self._resolve(program, entry, exhausted)
        if change.blocked and program.waiting:
            blocked = next(iter(change.blocked.values()))
            log.info(
                "budget_blocked", program=program.row.key, held_elsewhere=blocked.held_elsewhere
            )
            cause = not_run(
                Reason.OVERLOADED,
                "other nodes hold leases on the budget",
                BLOCKED_RETRY_AFTER_SECONDS,
            )
            self._refuse_expiring(program, cause, BLOCKED_POLL_SECONDS)
            await self._clock.sleep(BLOCKED_POLL_SECONDS)

    def _grant(self, program: _ProgramState, change: RecordChange) -> None:
        """Grant the reservations of turns that still wait; other tokens stay in the lease."""
        granted = {request.request_id for request in change.granted}
        now = self._clock.monotonic()
        for entry in list(program.waiting):
            if entry.request.request_id in granted:
                program.account.open_turns[entry.request.request_id] = entry.request.tokens
                self._resolve(program, entry, Reserved(now - entry.waiting_since, leased=False))

    def _refuse_expiring(self, program: _ProgramState, cause: Refused, wait_seconds: float) -> None:
        """Refuse the turns whose deadline is before the next attempt."""
        next_attempt_at = self._clock.monotonic() + wait_seconds
        for entry in [entry for entry in program.waiting if entry.deadline_at <= next_attempt_at]:
            refused = not_run(cause.reason, cause.detail, cause.retry_after_seconds)
            self._resolve(program, entry, refused)

    def _resolve(
        self,
        program: _ProgramState,
        entry: _PendingReservation,
        outcome: Reserved | Exhausted | Refused,
    ) -> None:
        program.waiting.remove(entry)
        if not entry.result_future.done():
            entry.result_future.set_result(outcome)
        elif isinstance(outcome, Reserved):
            program.account.settle(entry.request.request_id, 0)
