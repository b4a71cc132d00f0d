"""HTTP client of the platform's store."""

import asyncio
import time
from typing import Any

import aiohttp

from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run, outcome_unknown
from foxwinch.platform.connections import ConnectionPool, open_session
from foxwinch.platform.decoding import MALFORMED, decode_json
from foxwinch.platform.names import (
    AFTER_VERSION,
    END_KEY,
    FIRST_KEY,
    LONG_POLL_MS,
    PAGE_ROWS,
    ROW_PARTITION,
    ROW_TABLE,
    STORE_CHANGES,
    STORE_READ,
    STORE_TRANSACT,
)
from foxwinch.platform.store_codec import (
    STATUS_GONE,
    StoreResponse,
    decode_rows,
    decode_transaction,
    encode_transaction,
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

KEEPALIVE_SECONDS = 10.0
PAGE_SIZE = 500
NEXT_KEY_SUFFIX = "\x01"
"""Suffix that turns the last key of a page into the first key of the next page."""
log = EventLog("store")


class _CallTrace:
    """Records which kind of connection a call used."""

    def __init__(self) -> None:
        self.connection = "none"
        """`new`, `kept` (reused from the pool) or `none` (no connection was made)."""


class PlatformStore:
    """The platform's store; implements `foxwinch.records.ports.RecordStore`."""

    def __init__(self, address: str, metrics: ServingMetrics) -> None:
        """Use the store at `address` (`ip:port`); must be called in a running event loop."""
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
        body = encode_transaction(conditions, writes)
        response = await self._request("POST", STORE_TRANSACT, None, body, timeout_seconds)
        return response if isinstance(response, Refused) else decode_transaction(response)

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to, but not including, `end_key`."""
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
        """Read all rows of a table that has only the empty partition."""
        return await self._read_pages(
            {ROW_TABLE: table, ROW_PARTITION: "", FIRST_KEY: ""}, timeout_seconds
        )

    async def _read_pages(
        self, query: dict[str, str], timeout_seconds: float
    ) -> RowsRead | Refused:
        """Read all pages; the version is the first page's, so that no later change is missed."""
        pages: list[RowsRead] = []
        query = {**query, PAGE_ROWS: str(PAGE_SIZE)}
        while True:
            response = await self._request("GET", STORE_READ, query, None, timeout_seconds)
            page = response if isinstance(response, Refused) else decode_rows(response)
            if isinstance(page, Refused):
                return page
            pages.append(page)
            if not page.more:
                return RowsRead(
                    tuple(row for read in pages for row in read.rows),
                    False,
                    pages[0].version,
                    page.now_ms,
                    tuple(row for read in pages for row in read.malformed_rows),
                )
            last_key = max(
                (*(row.row.key for row in page.rows), *_malformed_row_keys(page)), default=""
            )
            if last_key < query[FIRST_KEY] or not last_key:
                detail = "the store returned a page without a key to continue from"
                return outcome_unknown(Reason.STORE_UNAVAILABLE, detail)
            query[FIRST_KEY] = last_key + NEXT_KEY_SUFFIX

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait up to `wait_seconds` for changes of a table after a version."""
        query = {
            ROW_TABLE: table,
            AFTER_VERSION: str(after_version),
            LONG_POLL_MS: str(int(1e3 * wait_seconds)),
        }
        timeout_seconds = wait_seconds + RESPONSE_GRACE_SECONDS
        response = await self._request("GET", STORE_CHANGES, query, None, timeout_seconds)
        if isinstance(response, Refused):
            return response
        return HistoryLost() if response.status == STATUS_GONE else decode_rows(response)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: dict[str, Any] | None,
        timeout_seconds: float,
    ) -> StoreResponse | Refused:
        started_at = time.monotonic()
        trace = _CallTrace()
        outcome = await self._exchange(method, path, query, body, timeout_seconds, trace)
        duration_seconds = time.monotonic() - started_at
        operation = path.rpartition("/")[2]
        outcome_label = (
            outcome.reason.value if isinstance(outcome, Refused) else str(outcome.status)
        )
        self._metrics.store_calls.labels(operation, outcome_label).inc()
        self._metrics.store_seconds.labels(operation).observe(duration_seconds)
        if isinstance(outcome, Refused):
            log.info(
                "store_call_failed",
                operation=operation,
                table=query.get(ROW_TABLE) if query else None,
                reason=outcome.reason.value,
                detail=outcome.detail,
                connection=trace.connection,
                took_ms=int(1e3 * duration_seconds),
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
    ) -> StoreResponse | Refused:
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
                    document = decode_json(raw) if raw else {}
                    if document is MALFORMED:
                        return outcome_unknown(
                            Reason.STORE_UNAVAILABLE, "the store returned a malformed response"
                        )
                    return StoreResponse(response.status, document)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                return not_run(Reason.STORE_UNAVAILABLE, "cannot connect to the store")
            except TimeoutError:
                if self._pool.retire(session):
                    log.info("store_connections_retired", connection=trace.connection)
                return outcome_unknown(
                    Reason.STORE_UNAVAILABLE, "the store did not respond in time"
                )
            except (aiohttp.ClientError, OSError, ValueError) as error:
                error_name = type(error).__name__
                return outcome_unknown(
                    Reason.STORE_UNAVAILABLE, f"the connection to the store failed: {error_name}"
                )


def _open_session() -> aiohttp.ClientSession:
    return open_session(KEEPALIVE_SECONDS, trace_configs=[_connection_trace()])


def _connection_trace() -> aiohttp.TraceConfig:
    """Return a trace that records whether each call used a new or a reused connection."""

    async def created(_: aiohttp.ClientSession, context: Any, __: Any) -> None:
        context.trace_request_ctx.connection = "new"

    async def reused(_: aiohttp.ClientSession, context: Any, __: Any) -> None:
        context.trace_request_ctx.connection = "kept"

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(created)
    trace.on_connection_reuseconn.append(reused)
    return trace


def _malformed_row_keys(page: RowsRead) -> tuple[str, ...]:
    return tuple(row.key for row in page.malformed_rows)
