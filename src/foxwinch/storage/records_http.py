"""Adapter of the shared store's port over HTTP.

`POST /transactions` returns 200 with the version, 412 with the rows whose conditions failed, or 429
with Retry-After. `GET /rows` reads a range of a partition. `GET /changes` waits for changes of a
table and returns 410 if its history has been compacted. Values are base64 encoded.
"""

from typing import NamedTuple, TypeVar

import aiohttp
from pydantic import Base64Bytes, BaseModel, ValidationError

from foxwinch.http_client import (
    HttpRequest,
    HttpResponse,
    RemoteService,
    malformed_response,
    refusal_for_status,
    send_request,
)
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

LONG_POLL_MARGIN_SECONDS = 1.0
"""Added to the timeout of a long-poll call for the response itself."""
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_TOO_MANY_REQUESTS = 429
SERVICE = RemoteService("the store", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)
JSON_HEADERS = {"Content-Type": "application/json"}


class RowDocument(BaseModel):
    """A row; without a value, it does not exist."""

    table: str
    partition: str
    key: str
    version: int
    value: Base64Bytes | None = None


class RowsDocument(BaseModel):
    """Rows at a version of the store."""

    rows: list[RowDocument]
    version: int
    now_ms: int


class ConditionDocument(BaseModel):
    """A row and its expected version."""

    table: str
    partition: str
    key: str
    version: int


class WriteDocument(BaseModel):
    """A write; without a value, a removal."""

    table: str
    partition: str
    key: str
    value: Base64Bytes | None = None


class TransactionDocument(BaseModel):
    """Request body of a transaction."""

    conditions: list[ConditionDocument]
    writes: list[WriteDocument]


class WrittenDocument(BaseModel):
    """Response to a committed transaction."""

    version: int
    now_ms: int


class ConflictDocument(BaseModel):
    """Response to a failed transaction, with the current rows of its conditions."""

    rows: list[RowDocument]
    version: int
    now_ms: int


class _StoreRequest(NamedTuple):
    method: str
    path: str
    timeout_seconds: float
    parameters: dict[str, str] | None = None
    body: bytes | None = None


Document = TypeVar("Document", bound=BaseModel)


class HttpRecordStore:
    """HTTP client of the shared store; implements `foxwinch.records.ports.RecordStore`.

    Each call is one attempt. After a lost response the outcome is `unknown`, and the caller has to
    resolve it.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, limiter: RateLimiter) -> None:
        """Send requests through `limiter` and `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")
        self._limiter = limiter

    async def transact(
        self,
        conditions: tuple[RowCondition, ...],
        writes: tuple[RowWrite, ...],
        timeout_seconds: float,
    ) -> Written | Conflict | Refused:
        """See `RecordStore`."""
        body = _transaction_document(conditions, writes).model_dump_json().encode()
        response = await self._send(
            _StoreRequest("POST", "/transactions", timeout_seconds, body=body)
        )
        if isinstance(response, Refused):
            return response
        if response.status == STATUS_CONFLICT:
            conflict = _parse(ConflictDocument, response)
            if isinstance(conflict, Refused):
                return conflict
            return Conflict(tuple(map(_row, conflict.rows)), conflict.version, conflict.now_ms)
        if response.status != STATUS_OK:
            return refusal_for_status(SERVICE, response)
        written = _parse(WrittenDocument, response)
        return written if isinstance(written, Refused) else Written(written.version, written.now_ms)

    async def read(self, first: RowKey, end_key: str, timeout_seconds: float) -> RowsRead | Refused:
        """See `RecordStore`."""
        parameters = {
            "table": first.table,
            "partition": first.partition,
            "first": first.key,
            "end": end_key,
        }
        return await self._read(_StoreRequest("GET", "/rows", timeout_seconds, parameters))

    async def read_table(self, table: str, timeout_seconds: float) -> RowsRead | Refused:
        """See `RecordStore`."""
        return await self._read(_StoreRequest("GET", "/rows", timeout_seconds, {"table": table}))

    async def changes(
        self, table: str, after_version: int, wait_seconds: float
    ) -> RowsRead | HistoryLost | Refused:
        """See `RecordStore`."""
        parameters = {"table": table, "after": str(after_version), "wait": f"{wait_seconds:.3f}"}
        store_request = _StoreRequest(
            "GET", "/changes", wait_seconds + LONG_POLL_MARGIN_SECONDS, parameters
        )
        response = await self._send(store_request)
        if isinstance(response, HttpResponse) and response.status == STATUS_GONE:
            return HistoryLost()
        return _decode_rows(response)

    async def _read(self, store_request: _StoreRequest) -> RowsRead | Refused:
        return _decode_rows(await self._send(store_request))

    async def _send(self, store_request: _StoreRequest) -> HttpResponse | Refused:
        refused = await self._limiter.acquire()
        if refused is not None:
            return refused
        headers = JSON_HEADERS if store_request.body is not None else None
        request = HttpRequest(
            store_request.method,
            self._url + store_request.path,
            store_request.timeout_seconds,
            store_request.body,
            headers,
            store_request.parameters,
        )
        response = await send_request(self._session, SERVICE, request)
        if isinstance(response, HttpResponse) and response.status == STATUS_TOO_MANY_REQUESTS:
            limited = refusal_for_status(SERVICE, response)
            self._limiter.apply_retry_after(limited)
            return limited
        return response


def row_document(row: StoredRow) -> RowDocument:
    """Return the document of a row."""
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


def _parse(model: type[Document], response: HttpResponse) -> Document | Refused:
    try:
        return model.model_validate_json(response.body)
    except ValidationError:
        return malformed_response(SERVICE)


def _decode_rows(response: HttpResponse | Refused) -> RowsRead | Refused:
    if isinstance(response, Refused):
        return response
    if response.status != STATUS_OK:
        return refusal_for_status(SERVICE, response)
    read = _parse(RowsDocument, response)
    if isinstance(read, Refused):
        return read
    return RowsRead(tuple(map(_row, read.rows)), False, read.version, read.now_ms)


def _row(document: RowDocument) -> StoredRow:
    row = RowKey(document.table, document.partition, document.key)
    return StoredRow(row, document.value, document.version)
