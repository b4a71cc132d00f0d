"""Client of the platform's store, behind the product's port."""

import asyncio
import json
import time
from typing import Any

import aiohttp

from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.platform.connections import ConnectionPool, open_session
from foxwinch.platform.names import (
    AFTER_VERSION,
    END_KEY,
    FIRST_KEY,
    HELD_MS,
    PAGE_ROWS,
    ROW_PARTITION,
    ROW_TABLE,
    STORE_CHANGES,
    STORE_READ,
    STORE_TRANSACT,
)
from foxwinch.platform.store_answers import (
    STATUS_GONE,
    Answer,
    rows_read,
    transacted,
    transaction_document,
)
from foxwinch.records.ports import (
    Conflict,
    HistoryLost,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    Written,
)
from foxwinch.records.watch import RESPONSE_GRACE_SECONDS
from foxwinch.serving.metrics import ServingMetrics

KEPT_SECONDS = 10.0
READ_LIMIT = 500
AFTER_KEY = "\x01"
"""Behind a key it makes the start of what follows that key."""
log = EventLog("store")


class _CallTrace:
    """What one call learns of the connection that it went out on."""

    def __init__(self) -> None:
        self.connection = "none"
        """`new`, `kept` (from the pool), or `none` before there was one."""


class PlatformStore:
    """The platform's store; implements `foxwinch.records.ports.RecordStore`."""

    def __init__(self, address: str, metrics: ServingMetrics) -> None:
        """Speak to `address` (`ip:port`); call on the running loop."""
        self._base = f"http://{address}"
        self._metrics = metrics
        self._pool = ConnectionPool(_open_session)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """Apply a transaction."""
        body = transaction_document(conditions, writes)
        answer = await self._ask("POST", STORE_TRANSACT, None, body, timeout_seconds)
        return answer if isinstance(answer, Refused) else transacted(answer)

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to `end_key`."""
        return await self._read_pages(
            {
                ROW_TABLE: first.table,
                ROW_PARTITION: first.partition,
                FIRST_KEY: first.key,
                END_KEY: end_key,
            },
            timeout_seconds,
        )

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read all rows of a table whose partition is empty."""
        return await self._read_pages(
            {ROW_TABLE: table, ROW_PARTITION: "", FIRST_KEY: ""}, timeout_seconds
        )

    async def _read_pages(
        self, query: dict[str, str], timeout_seconds: float
    ) -> RowsRead | Refused:
        """Read page by page; the version is the first page's, so that no later change is missed."""
        pages: list[RowsRead] = []
        query = {**query, PAGE_ROWS: str(READ_LIMIT)}
        while True:
            answer = await self._ask("GET", STORE_READ, query, None, timeout_seconds)
            read = answer if isinstance(answer, Refused) else rows_read(answer)
            if isinstance(read, Refused):
                return read
            pages.append(read)
            if not read.more:
                return RowsRead(
                    tuple(row for page in pages for row in page.rows),
                    False,
                    pages[0].version,
                    read.now_ms,
                    tuple(row for page in pages for row in page.malformed_rows),
                )
            last_key = max((*(row.row.key for row in read.rows), *_keys(read)), default="")
            if last_key < query[FIRST_KEY] or not last_key:
                detail = "a page of the store names no key to go on from"
                return outcome_unknown(Reason.STORE_UNAVAILABLE, detail)
            query[FIRST_KEY] = last_key + AFTER_KEY

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait for changes of a table after a version."""
        query = {
            ROW_TABLE: table,
            AFTER_VERSION: str(after_version),
            HELD_MS: str(int(1e3 * wait_seconds)),
        }
        timeout_seconds = wait_seconds + RESPONSE_GRACE_SECONDS
        answer = await self._ask("GET", STORE_CHANGES, query, None, timeout_seconds)
        if isinstance(answer, Refused):
            return answer
        return HistoryLost() if answer.status == STATUS_GONE else rows_read(answer)

    async def _ask(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: dict[str, Any] | None,
        timeout_seconds: float,
    ) -> Answer | Refused:
        began = time.monotonic()
        trace = _CallTrace()
        outcome = await self._exchange(method, path, query, body, timeout_seconds, trace)
        took = time.monotonic() - began
        operation = path.rpartition("/")[2]
        word = outcome.reason.value if isinstance(outcome, Refused) else str(outcome.status)
        self._metrics.store_calls.labels(operation, word).inc()
        self._metrics.store_seconds.labels(operation).observe(took)
        if isinstance(outcome, Refused):
            log.info(
                "store_call_failed",
                operation=operation,
                table=query.get(ROW_TABLE) if query else None,
                reason=outcome.reason.value,
                detail=outcome.detail,
                connection=trace.connection,
                took_ms=int(1e3 * took),
            )
        return outcome

    async def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: dict[str, Any] | None,
        timeout_seconds: float,
        trace: _CallTrace,
    ) -> Answer | Refused:
        async with self._pool.session() as session:
            try:
                async with (
                    asyncio.timeout(timeout_seconds),
                    session.request(
                        method,
                        self._base + path,
                        params=query,
                        json=body,
                        allow_redirects=False,
                        trace_request_ctx=trace,
                    ) as response,
                ):
                    raw = await response.read()
                    return Answer(response.status, json.loads(raw) if raw else {})
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                return not_run(Reason.STORE_UNAVAILABLE, "the store cannot be reached")
            except TimeoutError:
                if self._pool.retire(session):
                    log.info("store_connections_retired", connection=trace.connection)
                return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store did not answer in time")
            except (aiohttp.ClientError, OSError, ValueError) as error:
                kind = type(error).__name__
                return outcome_unknown(Reason.STORE_UNAVAILABLE, f"the store broke off: {kind}")


def _open_session() -> aiohttp.ClientSession:
    return open_session(KEPT_SECONDS, trace_configs=[_connection_trace()])


def _connection_trace() -> aiohttp.TraceConfig:
    """Note for each call whether its connection is new or was kept from an earlier call."""

    async def created(_: aiohttp.ClientSession, context: Any, __: Any) -> None:
        context.trace_request_ctx.connection = "new"

    async def reused(_: aiohttp.ClientSession, context: Any, __: Any) -> None:
        context.trace_request_ctx.connection = "kept"

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(created)
    trace.on_connection_reuseconn.append(reused)
    return trace


def _keys(read: RowsRead) -> tuple[str, ...]:
    return tuple(row.key for row in read.malformed_rows)
