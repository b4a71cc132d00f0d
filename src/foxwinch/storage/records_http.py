"""Adapter of the shared store's port over HTTP.

`POST /transactions` answers 200 with the version, 412 with the rows whose conditions failed, 429
with Retry-After. `GET /rows` reads a range of a partition, `GET /changes` waits for changes of a
table and answers 410 when its history is gone. Values are base64.
"""

from typing import NamedTuple, TypeVar

import aiohttp
from pydantic import Base64Bytes, BaseModel, ValidationError

from foxwinch.http_exchange import HttpRequest, HttpResponse, Service, exchange, malformed, refusal
from foxwinch.outcomes import Reason, Refused
from foxwinch.records.ports import (
    Conflict,
    HistoryLost,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)
from foxwinch.storage.rate_limit import RateLimiter

FEED_SLACK_SECONDS = 1.0
"""For the answer of a call that the store holds open."""
STATUS_DONE = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_LIMITED = 429
SERVICE = Service("the store", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)
JSON_HEADERS = {"Content-Type": "application/json"}


class RowDocument(BaseModel):
    """A row; without a value it is absent."""

    table: str
    partition: str
    key: str
    version: int
    value: Base64Bytes | None = None


class RowsDocument(BaseModel):
    """Rows as of a version."""

    rows: list[RowDocument]
    version: int
    now_ms: int


class ConditionDocument(BaseModel):
    """A row and the version that it must have."""

    table: str
    partition: str
    key: str
    version: int


class WriteDocument(BaseModel):
    """A write; without a value a removal."""

    table: str
    partition: str
    key: str
    value: Base64Bytes | None = None


class TransactionDocument(BaseModel):
    """A transaction."""

    conditions: list[ConditionDocument]
    writes: list[WriteDocument]


class WrittenDocument(BaseModel):
    """A transaction that is in force."""

    version: int
    now_ms: int


class ConflictDocument(BaseModel):
    """The rows of the conditions as they stand."""

    rows: list[RowDocument]
    version: int
    now_ms: int


class _Ask(NamedTuple):
    method: str
    path: str
    timeout_seconds: float
    parameters: dict[str, str] | None = None
    body: bytes | None = None


Document = TypeVar("Document", bound=BaseModel)


class HttpRecords:
    """The shared store reached over HTTP; implements `foxwinch.records.ports.RecordStore`.

    One attempt a call: a lost answer is `unknown`, for the caller to settle.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, limiter: RateLimiter) -> None:
        """Use `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")
        self._limiter = limiter

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """See the port."""
        body = _transaction_document(conditions, writes).model_dump_json().encode()
        answer = await self._send(_Ask("POST", "/transactions", timeout_seconds, body=body))
        if isinstance(answer, Refused):
            return answer
        if answer.status == STATUS_CONFLICT:
            conflict = _parse(ConflictDocument, answer)
            if isinstance(conflict, Refused):
                return conflict
            return Conflict(tuple(map(_row, conflict.rows)), conflict.version, conflict.now_ms)
        if answer.status != STATUS_DONE:
            return refusal(SERVICE, answer)
        written = _parse(WrittenDocument, answer)
        return written if isinstance(written, Refused) else Written(written.version, written.now_ms)

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """See the port."""
        parameters = {
            "table": first.table,
            "partition": first.partition,
            "first": first.key,
            "end": end_key,
        }
        return await self._read(_Ask("GET", "/rows", timeout_seconds, parameters))

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """See the port."""
        return await self._read(_Ask("GET", "/rows", timeout_seconds, {"table": table}))

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """See the port."""
        parameters = {"table": table, "after": str(after_version), "wait": f"{wait_seconds:.3f}"}
        ask = _Ask("GET", "/changes", wait_seconds + FEED_SLACK_SECONDS, parameters)
        answer = await self._send(ask)
        if isinstance(answer, HttpResponse) and answer.status == STATUS_GONE:
            return HistoryLost()
        return _rows_read(answer)

    async def _read(self, ask: _Ask) -> RowsRead | Refused:
        return _rows_read(await self._send(ask))

    async def _send(self, ask: _Ask) -> HttpResponse | Refused:
        refused = await self._limiter.enter()
        if refused is not None:
            return refused
        headers = JSON_HEADERS if ask.body is not None else None
        request = HttpRequest(
            ask.method, self._url + ask.path, ask.timeout_seconds, ask.body, headers, ask.parameters
        )
        answer = await exchange(self._session, SERVICE, request)
        if isinstance(answer, HttpResponse) and answer.status == STATUS_LIMITED:
            limited = refusal(SERVICE, answer)
            self._limiter.heed(limited)
            return limited
        return answer


def row_document(row: StoredRow) -> RowDocument:
    """Return a row as it is sent."""
    return RowDocument.model_construct(
        table=row.row.table,
        partition=row.row.partition,
        key=row.row.key,
        version=row.version,
        value=row.value,
    )


def _transaction_document(
    conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
) -> TransactionDocument:
    return TransactionDocument.model_construct(
        conditions=[
            ConditionDocument(
                table=entry.row.table,
                partition=entry.row.partition,
                key=entry.row.key,
                version=entry.version,
            )
            for entry in conditions
        ],
        writes=[
            WriteDocument.model_construct(
                table=write.row.table,
                partition=write.row.partition,
                key=write.row.key,
                value=write.value,
            )
            for write in writes
        ],
    )


def _parse(model: type[Document], answer: HttpResponse) -> Document | Refused:
    try:
        return model.model_validate_json(answer.body)
    except ValidationError:
        return malformed(SERVICE)


def _rows_read(answer: HttpResponse | Refused) -> RowsRead | Refused:
    if isinstance(answer, Refused):
        return answer
    if answer.status != STATUS_DONE:
        return refusal(SERVICE, answer)
    read = _parse(RowsDocument, answer)
    if isinstance(read, Refused):
        return read
    return RowsRead(tuple(map(_row, read.rows)), False, read.version, read.now_ms)


def _row(document: RowDocument) -> StoredRow:
    row = RowKey(document.table, document.partition, document.key)
    return StoredRow(row, document.value, document.version)
