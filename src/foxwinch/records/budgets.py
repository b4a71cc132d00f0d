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
    Ahead,
    Change,
    Exhausted,
    Reserve,
    Times,
)
from foxwinch.core.records.budget import BudgetRecord
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import Conflict, RowCondition, RowKey, RowWrite, Written
from foxwinch.records.retry import CALL_SECONDS
from foxwinch.records.store_state import ObservedStore
from foxwinch.service_tasks import ServiceTasks

BUDGETS_TABLE = "budgets"
QUIET_SECONDS = 1.2
"""Idle time of a program after which its lease is returned; most pauses are shorter."""
TROUBLED_QUIET_SECONDS = 1.5
"""Additional idle time while the store is degraded."""
WRITE_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
MIN_WAIT_SECONDS = 0.001
PROBE_SECONDS = 0.4
"""Minimum interval between a node's background changes while the store is degraded."""
OPEN_TURN_SECONDS = 0.05
"""Poll interval for an idle program with an open turn."""
BEHIND_BACKOFF = Backoff(base_seconds=0.2, cap_seconds=1.6)
"""Backoff of background changes, slower than `WRITE_BACKOFF` to spare a store that is down."""
BLOCKED_SECONDS = 0.15
"""Retry interval of a turn that waits for other nodes to return their leases."""
BLOCKED_RETRY_SECONDS = 0.5
SPENT_REMEMBERED = 20_000
"""Number of programs whose spent tokens stay cached, least recently used ones evicted first."""
log = EventLog("budgets")


@dataclass(frozen=True, slots=True)
class Reserved:
    """The tokens are reserved for the request until it is settled."""

    waited_seconds: float
    leased: bool
    """Whether the node had already leased the tokens."""


@dataclass(slots=True, eq=False)
class _Waiting:
    reserve: Reserve
    deadline_at: float
    since: float
    done: "asyncio.Future[Reserved | Exhausted | Refused]"


@dataclass(slots=True, eq=False)
class _Program:
    """State of one program with a lease or unreported tokens at this node."""

    row: RowKey
    account: Account
    waiting: list[_Waiting] = field(default_factory=list)
    wanted: Ahead | None = None
    """Lease parameters of its last turn."""
    low: bool = False
    """Whether the lease is too small for another turn."""
    touched_at: float = 0.0
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    hurried: bool = False
    """Whether to return the lease without waiting for an idle period."""


class BudgetLedger:
    """Reserves and settles tokens of program budgets."""

    def __init__(self, store: ObservedStore, clock: Clock, tasks: ServiceTasks, node: str) -> None:
        """Create a ledger; `node` must be unique to this run of the process."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._node = node
        self._programs: dict[str, _Program] = {}
        self._sequences = itertools.count(1)
        self._probe_at = 0.0
        self._spent: LRUCache[str, int] = LRUCache(SPENT_REMEMBERED)

    @property
    def programs(self) -> int:
        """Return the number of programs with a lease or unreported tokens."""
        return len(self._programs)

    async def reserve(
        self, program_id: str, reserve: Reserve, deadline_at: float, end_at: float
    ) -> Reserved | Exhausted | Refused:
        """Reserve tokens for a turn that ends by `end_at`; the turn may run only if `Reserved`.

        Spent tokens in the store only grow, so a budget that they already exceed is rejected
        without a store call. This protects the store from programs that retry in endless loops.
        """
        spent = self._spent.get(program_id, 0)
        if spent + reserve.tokens > reserve.budget:
            return Exhausted(spent)
        program = self._program(program_id)
        now = self._clock.monotonic()
        program.wanted = Ahead(reserve.tokens, reserve.budget)
        if program.account.try_reserve(reserve, end_at):
            if program.account.available() < reserve.tokens:
                program.low = True
                program.wake.set()
            return Reserved(0.0, leased=True)
        done: asyncio.Future[Reserved | Exhausted | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _Waiting(reserve, deadline_at, now, done)
        program.waiting.append(waiting)
        program.wake.set()
        try:
            async with asyncio.timeout(max(0.0, deadline_at - now)):
                return await done
        except TimeoutError:
            return not_run(Reason.STORE_UNAVAILABLE, "the store did not answer in time")
        finally:
            if waiting in program.waiting:
                program.waiting.remove(waiting)

    def settle(self, program_id: str, request_id: str, used: int) -> None:
        """End a turn that used some of its tokens."""
        program = self._program(program_id)
        program.account.settle(request_id, used)

    def give_back_all(self) -> None:
        """Let no lease wait for quiet any longer, as before a planned stop."""
        for program in self._programs.values():
            program.hurried = True
            program.wake.set()

    def _program(self, program_id: str) -> _Program:
        program = self._programs.get(program_id)
        if program is None:
            row = RowKey(BUDGETS_TABLE, partition_of(program_id), program_id)
            program = _Program(row, Account(self._node, self._sequences))
            self._programs[program_id] = program
            self._tasks.start(self._keep(program_id, program))
        program.touched_at = self._clock.monotonic()
        return program

    async def _keep(self, program_id: str, program: _Program) -> None:
        """Send a program's changes until it is idle and has nothing left to report."""
        attempt = 0
        while True:
            work = await self._wait_for_work(program)
            if not work and not program.account.owes and not program.account.open:
                break
            if not work and program.account.open:
                program.touched_at = self._clock.monotonic()
                await self._clock.sleep(OPEN_TURN_SECONDS)
                continue
            if not program.waiting and not self._may_write_behind():
                await self._sleep_unless_waiting(
                    program, PROBE_SECONDS * (1 + self._clock.uniform())
                )
                continue
            refused = await self._write(program, give_back=not work)
            if refused is None:
                attempt = 0
                continue
            wait = self._backoff_seconds(program, attempt)
            attempt += 1
            self._refuse_late(program, refused, wait)
            await self._sleep_unless_waiting(program, wait)
        del self._programs[program_id]

    def _may_write_behind(self) -> bool:
        """Return whether a background change may be sent now.

        While the store is degraded, one background change per interval probes whether it is back.
        """
        now = self._clock.monotonic()
        if self._store.troubled() and now < self._probe_at:
            return False
        self._probe_at = now + PROBE_SECONDS
        return True

    def _backoff_seconds(self, program: _Program, attempt: int) -> float:
        backoff = WRITE_BACKOFF if program.waiting else BEHIND_BACKOFF
        return backoff.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())

    async def _sleep_unless_waiting(self, program: _Program, wait: float) -> None:
        """Wait before the next attempt; a new turn ends a background wait early."""
        if program.waiting:
            await self._clock.sleep(wait)
            return
        program.wake.clear()
        try:
            async with asyncio.timeout(wait):
                while not program.waiting:
                    await program.wake.wait()
                    program.wake.clear()
        except TimeoutError:
            return

    async def _wait_for_work(self, program: _Program) -> bool:
        """Wait until turns need the store or the program is idle; return True for turns."""
        while True:
            if program.waiting or program.low:
                return True
            wait = self._quiet_at(program) - self._clock.monotonic()
            if wait < MIN_WAIT_SECONDS or program.hurried:
                return False
            program.wake.clear()
            try:
                async with asyncio.timeout(wait):
                    await program.wake.wait()
            except TimeoutError:
                continue

    def _quiet_at(self, program: _Program) -> float:
        quiet_at = program.touched_at + QUIET_SECONDS
        return quiet_at + TROUBLED_QUIET_SECONDS if self._store.troubled() else quiet_at

    async def _write(self, program: _Program, give_back: bool) -> Refused | None:
        """Send one change; return None if the store answered."""
        account = program.account
        now = self._clock.monotonic()
        clock = self._store.store_clock
        if not clock.known:
            return not_run(Reason.STORE_UNAVAILABLE, "the store's clock is not known yet")
        earliest_ms = clock.earliest_ms(now)
        times = Times(earliest_ms, clock.reached_at(earliest_ms + LEASE_MS))
        ahead = None if give_back else program.wanted
        change = account.plan(tuple(entry.reserve for entry in program.waiting), ahead, times)
        program.low = False
        account.sent(change)
        result = await self._store.transact(
            (RowCondition(program.row, change.version),),
            (RowWrite(program.row, change.record.encode()),),
            CALL_SECONDS,
        )
        match result:
            case Refused():
                if result.run_state is RunState.NOT_RUN:
                    account.refused(change)
                return result
            case Conflict():
                self._take_over(program, result)
            case Written():
                account.written(change, result.version)
                self._remember_spent(program)
                await self._complete(program, change)
        return None

    def _remember_spent(self, program: _Program) -> None:
        spent = program.account.record.spent
        self._spent[program.row.key] = max(spent, self._spent.get(program.row.key, 0))

    def _take_over(self, program: _Program, conflict: Conflict) -> None:
        """Adopt the stored row after a conflict."""
        record, version = BudgetRecord(), 0
        for row in conflict.rows:
            if row.row.key == program.row.key and row.value is not None:
                record, version = BudgetRecord.decode(row.value), row.version
        applied = program.account.conflicted(record, version)
        self._remember_spent(program)
        if applied is not None:
            self._grant(program, applied)

    async def _complete(self, program: _Program, change: Change) -> None:
        self._grant(program, change)
        for entry in list(program.waiting):
            exhausted = change.exhausted.get(entry.reserve.request_id)
            if exhausted is not None:
                self._resolve(program, entry, exhausted)
        if change.blocked and program.waiting:
            blocked = next(iter(change.blocked.values()))
            log.info(
                "budget_blocked", program=program.row.key, held_elsewhere=blocked.held_elsewhere
            )
            cause = not_run(
                Reason.OVERLOADED, "other nodes hold leases on the budget", BLOCKED_RETRY_SECONDS
            )
            self._refuse_late(program, cause, BLOCKED_SECONDS)
            await self._clock.sleep(BLOCKED_SECONDS)

    def _grant(self, program: _Program, change: Change) -> None:
        """Grant the reservations of turns that still wait; other tokens stay in the lease."""
        granted = {reserve.request_id for reserve in change.granted}
        now = self._clock.monotonic()
        for entry in list(program.waiting):
            if entry.reserve.request_id in granted:
                program.account.open[entry.reserve.request_id] = entry.reserve.tokens
                self._resolve(program, entry, Reserved(now - entry.since, leased=False))

    def _refuse_late(self, program: _Program, cause: Refused, wait_seconds: float) -> None:
        """Refuse the turns whose deadline is before the next attempt."""
        then = self._clock.monotonic() + wait_seconds
        for entry in [entry for entry in program.waiting if entry.deadline_at <= then]:
            refused = not_run(cause.reason, cause.detail, cause.retry_after_seconds)
            self._resolve(program, entry, refused)

    def _resolve(
        self, program: _Program, entry: _Waiting, outcome: Reserved | Exhausted | Refused
    ) -> None:
        program.waiting.remove(entry)
        if not entry.done.done():
            entry.done.set_result(outcome)
        elif isinstance(outcome, Reserved):
            program.account.settle(entry.reserve.request_id, 0)
