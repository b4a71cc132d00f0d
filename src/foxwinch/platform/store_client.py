"""Client of the platform's store, behind the product's port."""

import asyncio
import base64
import json
import time
from typing import Any

import aiohttp

from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown
from foxwinch.platform.connections import ConnectionPool, open_session
from foxwinch.records.ports import (
    ABSENT_VERSION,
    Conflict,
    HistoryLost,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    UnreadableRow,
    Written,
)
from foxwinch.records.watch import ANSWER_SECONDS
from foxwinch.serving.metrics import ServingMetrics

KEPT_SECONDS = 10.0
READ_LIMIT = 500
AFTER_KEY = "\x01"
"""Behind a key it makes the start of what follows that key."""
STATUS_DONE = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_LIMITED = 429
STATUS_UNAVAILABLE = 503
UNREADABLE = (ValueError, KeyError, TypeError, OverflowError)
log = EventLog("store")


class _Answer:
    """Status and document of a whole answer."""

    def __init__(self, status: int, document: Any) -> None:
        self.status = status
        self.document = document


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
        body = {
            "if_rev": [{**_place(entry.row), "ver": entry.version} for entry in conditions],
            "put": [
                {**_place(write.row), "value": base64.b64encode(write.value).decode()}
                for write in writes
                if write.value is not None
            ],
            "remove": [_place(write.row) for write in writes if write.value is None],
        }
        answer = await self._ask("POST", "/v1/rows-tx", None, body, timeout_seconds)
        if isinstance(answer, Refused):
            return answer
        try:
            if answer.status == STATUS_DONE:
                return Written(int(answer.document["ver"]), int(answer.document["now_ms"]))
            if answer.status == STATUS_CONFLICT:
                version = int(answer.document["ver"])
                now_ms = int(answer.document["now_ms"])
                rows, unreadable = _read_rows(answer.document["rows"], version)
                return Conflict(rows, version, now_ms, unreadable)
        except UNREADABLE:
            return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store's answer is unreadable")
        return _refusal(answer)

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read the rows of a partition from `first` up to `end_key`."""
        return await self._read_pages(
            {
                "table": first.table,
                "part": first.partition,
                "from": first.key,
                "target_version": end_key,
            },
            timeout_seconds,
        )

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """Read all rows of a table whose partition is empty."""
        return await self._read_pages({"table": table, "part": "", "from": ""}, timeout_seconds)

    async def _read_pages(
        self, query: dict[str, str], timeout_seconds: float
    ) -> RowsRead | Refused:
        """Read page by page; the version is the first page's, so that no later change is missed."""
        pages: list[RowsRead] = []
        query = {**query, "limit": str(READ_LIMIT)}
        while True:
            answer = await self._ask("GET", "/v1/rows-get", query, None, timeout_seconds)
            read = _rows_read(answer)
            if isinstance(read, Refused):
                return read
            pages.append(read)
            if not read.more:
                return RowsRead(
                    tuple(row for page in pages for row in page.rows),
                    False,
                    pages[0].version,
                    read.now_ms,
                    tuple(row for page in pages for row in page.unreadable),
                )
            last_key = max((*(row.row.key for row in read.rows), *_keys(read)), default="")
            if last_key < query["from"] or not last_key:
                detail = "a page of the store names no key to go on from"
                return outcome_unknown(Reason.STORE_UNAVAILABLE, detail)
            query["from"] = last_key + AFTER_KEY

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """Wait for changes of a table after a version."""
        query = {
            "table": table,
            "after": str(after_version),
            "wait_ms": str(int(1e3 * wait_seconds)),
        }
        timeout_seconds = wait_seconds + ANSWER_SECONDS
        answer = await self._ask("GET", "/v1/rows-feed", query, None, timeout_seconds)
        if isinstance(answer, _Answer) and answer.status == STATUS_GONE:
            return HistoryLost()
        return _rows_read(answer)

    async def _ask(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        body: dict[str, Any] | None,
        timeout_seconds: float,
    ) -> _Answer | Refused:
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
                table=query.get("table") if query else None,
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
    ) -> _Answer | Refused:
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
                    return _Answer(response.status, json.loads(raw) if raw else {})
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


def _place(row: RowKey) -> dict[str, str]:
    return {"table": row.table, "part": row.partition, "tls_key": row.key}


def _row(entry: dict[str, Any]) -> StoredRow:
    row = RowKey(entry["table"], entry.get("part", ""), entry["tls_key"])
    version = int(entry.get("ver", 0))
    if entry.get("gone") or version == ABSENT_VERSION:
        return StoredRow(row, None, version)
    return StoredRow(row, base64.b64decode(entry["value"], validate=True), version)


def _rows_read(answer: _Answer | Refused) -> RowsRead | Refused:
    if isinstance(answer, Refused):
        return answer
    if answer.status != STATUS_DONE:
        return _refusal(answer)
    try:
        document = answer.document
        version = int(document["ver"])
        more, now_ms = bool(document.get("more")), int(document["now_ms"])
        rows, unreadable = _read_rows(document["rows"], version)
    except UNREADABLE as error:
        log.warning("store_answer_unreadable", error=type(error).__name__, detail=str(error))
        return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store's answer is unreadable")
    return RowsRead(rows, more, version, now_ms, unreadable)


def _read_rows(
    entries: list[Any], newest: int
) -> tuple[tuple[StoredRow, ...], tuple[UnreadableRow, ...]]:
    """Decode rows one by one; those that cannot be decoded hide none of the others."""
    rows: list[StoredRow] = []
    unreadable: list[UnreadableRow] = []
    for entry in entries:
        row = _read_row(entry, newest)
        if isinstance(row, StoredRow):
            rows.append(row)
        else:
            log.warning("row_unreadable", key=row.key, version=row.version, reason=row.reason)
            unreadable.append(row)
    return tuple(rows), tuple(unreadable)


def _read_row(entry: Any, newest: int) -> StoredRow | UnreadableRow:
    """Decode one row; one that tells no version counts as the store's newest."""
    try:
        return _row(entry)
    except UNREADABLE as error:
        told = entry if isinstance(entry, dict) else {}
        key, version = told.get("tls_key"), told.get("ver")
        return UnreadableRow(
            key if isinstance(key, str) else "",
            version if isinstance(version, int) else newest,
            f"{type(error).__name__}: {error}",
        )


def _keys(read: RowsRead) -> tuple[str, ...]:
    return tuple(row.key for row in read.unreadable)


def _refusal(answer: _Answer) -> Refused:
    detail = f"the store answered {answer.status}"
    if answer.status == STATUS_LIMITED:
        return not_run(Reason.RATE_LIMITED, detail)
    if answer.status == STATUS_UNAVAILABLE:
        return not_run(Reason.STORE_UNAVAILABLE, detail)
    return Refused(Reason.STORE_UNAVAILABLE, RunState.UNKNOWN, detail)
