"""Budgets of programs in the shared store: reserved before a turn can run, settled behind.

Each program has one row, changed under its version. All that waits for a program at this node goes
into one change: settlements of turns that ended, and reservations of turns that begin. A settlement
alone waits a little, since the program's next turn mostly comes soon and takes it along.
"""

import asyncio
from dataclasses import dataclass, field

from foxwinch.clock import Clock
from foxwinch.core.limits.backoff import Backoff
from foxwinch.core.records.budget import BudgetRecord, Exhausted, Reserve, Settle, reserve, settle
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import Conflict, RecordStore, RowCondition, RowKey, RowWrite, Written
from foxwinch.records.repeat import CALL_SECONDS
from foxwinch.service_tasks import ServiceTasks

BUDGETS_TABLE = "budgets"
SETTLE_SECONDS = 0.6
"""For which a settlement waits for the program's next turn."""
WRITE_BACKOFF = Backoff(base_seconds=0.05, cap_seconds=0.4)
ACCOUNT_SECONDS = 90.0
"""An account that nobody used for so long is dropped; the row is read anew when it is needed."""
log = EventLog("budgets")


@dataclass(frozen=True, slots=True)
class Reserved:
    """The tokens are the request's until it settles."""

    waited_seconds: float


@dataclass(slots=True, eq=False)
class _Waiting:
    operation: Reserve
    give_up_at: float
    done: "asyncio.Future[Reserved | Exhausted | Refused]"
    since: float
    sent: bool = False
    """Whether a transaction that holds it has left this node."""


@dataclass(slots=True, eq=False)
class _Account:
    """One program as this node knows it."""

    row: RowKey
    record: BudgetRecord = field(default_factory=BudgetRecord)
    version: int = 0
    """Version of the row that `record` was read or written as; 0: taken to be absent."""
    waiting: list[_Waiting] = field(default_factory=list)
    unsettled: dict[str, Settle] = field(default_factory=dict)
    settle_at: float = 0.0
    writing: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    used_at: float = 0.0


class BudgetLedger:
    """Reserves and settles tokens of programs."""

    def __init__(self, store: RecordStore, clock: Clock, tasks: ServiceTasks) -> None:
        """Keep budgets in `store`; writes behind run in `tasks`."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._accounts: dict[str, _Account] = {}

    async def reserve(
        self, program_id: str, operation: Reserve, give_up_at: float
    ) -> Reserved | Exhausted | Refused:
        """Take tokens for a request; a refusal means that it must not run."""
        account = self._account(program_id)
        now = self._clock.monotonic()
        done: asyncio.Future[Reserved | Exhausted | Refused] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _Waiting(operation, give_up_at, done, now)
        account.waiting.append(waiting)
        self._start_writing(account)
        try:
            return await done
        except asyncio.CancelledError:
            self._withdraw(account, waiting)
            raise

    def settle(self, program_id: str, operation: Settle) -> None:
        """Give back behind what a request did not use."""
        account = self._account(program_id)
        if not account.unsettled:
            account.settle_at = self._clock.monotonic() + SETTLE_SECONDS
        account.unsettled[operation.request_id] = operation
        self._start_writing(account)

    @property
    def unsettled(self) -> int:
        """Return how many settlements are not yet in the store."""
        return sum(len(account.unsettled) for account in self._accounts.values())

    def settle_now(self) -> None:
        """Let no settlement wait any longer, as before a planned stop."""
        now = self._clock.monotonic()
        for account in self._accounts.values():
            if account.unsettled:
                account.settle_at = now
                account.wake.set()

    def drop_idle(self) -> None:
        """Forget programs that were not used for long and owe nothing."""
        oldest = self._clock.monotonic() - ACCOUNT_SECONDS
        idle = [
            program_id
            for program_id, account in self._accounts.items()
            if account.used_at < oldest and not account.writing
        ]
        for program_id in idle:
            del self._accounts[program_id]

    def _account(self, program_id: str) -> _Account:
        account = self._accounts.get(program_id)
        if account is None:
            row = RowKey(BUDGETS_TABLE, partition_of(program_id), program_id)
            account = self._accounts[program_id] = _Account(row)
        account.used_at = self._clock.monotonic()
        return account

    def _start_writing(self, account: _Account) -> None:
        account.wake.set()
        if not account.writing:
            account.writing = True
            self._tasks.keep(self._write(account))

    def _withdraw(self, account: _Account, waiting: _Waiting) -> None:
        """Take back a reservation that nobody waits for any more."""
        if waiting in account.waiting:
            account.waiting.remove(waiting)
        if waiting.sent:
            request_id = waiting.operation.request_id
            account.unsettled[request_id] = Settle(request_id, 0)
            account.settle_at = self._clock.monotonic() + SETTLE_SECONDS
            self._start_writing(account)

    async def _write(self, account: _Account) -> None:
        """Write until nothing is left to write."""
        attempt = 0
        try:
            while account.waiting or account.unsettled:
                await self._wait_for_work(account)
                self._refuse_late(account)
                if not account.waiting and not account.unsettled:
                    break
                refused = await self._write_once(account)
                if refused is None:
                    attempt = 0
                    continue
                wait = WRITE_BACKOFF.wait_seconds(attempt, 0.5 + 0.5 * self._clock.uniform())
                attempt += 1
                self._refuse_late(account, refused, wait)
                await self._clock.sleep(wait)
        finally:
            account.writing = False

    async def _wait_for_work(self, account: _Account) -> None:
        """Wait while only settlements are there whose time has not come."""
        while not account.waiting:
            wait = account.settle_at - self._clock.monotonic()
            if wait <= 0:
                return
            account.wake.clear()
            try:
                async with asyncio.timeout(wait):
                    await account.wake.wait()
            except TimeoutError:
                return

    def _refuse_late(
        self, account: _Account, cause: Refused | None = None, wait_seconds: float = 0.0
    ) -> None:
        """Give those whose time is over their refusal."""
        then = self._clock.monotonic() + wait_seconds
        for waiting in [entry for entry in account.waiting if entry.give_up_at <= then]:
            self._withdraw(account, waiting)
            refused = cause or not_run(Reason.STORE_UNAVAILABLE, "no answer of the store in time")
            _resolve(waiting, not_run(refused.reason, refused.detail, refused.retry_after_seconds))

    async def _write_once(self, account: _Account) -> Refused | None:
        """Send one change with all that waits; None when the store answered."""
        settles = dict(account.unsettled)
        batch = list(account.waiting)
        record = account.record
        for settlement in settles.values():
            record = settle(record, settlement)
        exhausted: dict[int, Exhausted] = {}
        for number, waiting in enumerate(batch):
            outcome = reserve(record, waiting.operation)
            if isinstance(outcome, Exhausted):
                exhausted[number] = outcome
            else:
                record = outcome
                waiting.sent = True
        result = await self._store.transact(
            (RowCondition(account.row, account.version),),
            (RowWrite(account.row, record.encode()),),
            CALL_SECONDS,
        )
        match result:
            case Refused():
                return result
            case Conflict():
                self._take_over(account, result)
            case Written():
                account.record, account.version = record, result.version
                self._complete(account, settles, batch, exhausted)
        return None

    def _take_over(self, account: _Account, conflict: Conflict) -> None:
        """Go on from the row as it stands."""
        account.record, account.version = BudgetRecord(), 0
        for row in conflict.rows:
            if row.row.key == account.row.key and row.value is not None:
                account.record = BudgetRecord.decode(row.value)
                account.version = row.version

    def _complete(
        self,
        account: _Account,
        settles: dict[str, Settle],
        batch: list[_Waiting],
        exhausted: dict[int, Exhausted],
    ) -> None:
        for request_id, settlement in settles.items():
            if account.unsettled.get(request_id) == settlement:
                del account.unsettled[request_id]
        now = self._clock.monotonic()
        for number, waiting in enumerate(batch):
            if waiting not in account.waiting:
                continue
            account.waiting.remove(waiting)
            _resolve(waiting, exhausted.get(number) or Reserved(now - waiting.since))


def _resolve(waiting: _Waiting, outcome: Reserved | Exhausted | Refused) -> None:
    if not waiting.done.done():
        waiting.done.set_result(outcome)
