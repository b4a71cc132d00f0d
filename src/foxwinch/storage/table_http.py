"""Adapter of the table port over HTTP: conditional transactions with request tokens.

`POST /transactions` answers 200 with versions, 412 with the row whose condition failed, 409 when it
met another transaction (nothing was written: try again), 429 with Retry-After. `GET /rows` reads
one row (`key`) or a page (`prefix`, `start`, `limit`). Values are base64.
"""

from typing import TypeVar

import aiohttp
from pydantic import Base64Bytes, BaseModel, ValidationError

from foxwinch.http_exchange import (
    HttpAnswer,
    HttpRequest,
    Service,
    exchange,
    malformed,
    refusal,
)
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.storage.ports import (
    Committed,
    ConditionFailed,
    Row,
    RowPage,
    Transaction,
)
from foxwinch.storage.rate_limit import RateLimiter

REQUEST_SECONDS = 5.0
"""For a whole answer; a slower store counts as not answering."""
CONFLICT_RETRY_SECONDS = 0.05
SERVICE = Service("the table", Reason.STORE_UNAVAILABLE, Reason.STORE_UNAVAILABLE)
JSON_HEADERS = {"Content-Type": "application/json"}


class RowDocument(BaseModel):
    """A row."""

    key: str
    value: Base64Bytes
    version: int


class PageDocument(BaseModel):
    """A page of rows."""

    rows: list[RowDocument]
    next_key: str | None = None


class ConditionDocument(BaseModel):
    """A condition, and the version found where it failed."""

    key: str
    version: int


class WriteDocument(BaseModel):
    """A write; without a value a deletion."""

    key: str
    value: Base64Bytes | None = None


class TransactionDocument(BaseModel):
    """A transaction."""

    token: str
    conditions: list[ConditionDocument]
    writes: list[WriteDocument]


class CommittedDocument(BaseModel):
    """Versions of the written rows."""

    versions: list[int]


Document = TypeVar("Document", bound=BaseModel)


class HttpTable:
    """The table service reached over HTTP; implements `foxwinch.storage.ports.TablePort`.

    One attempt a call: a lost answer is `unknown`, and settled by sending the same token again.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, limiter: RateLimiter) -> None:
        """Use `session`, which the caller closes."""
        self._session = session
        self._url = url.rstrip("/")
        self._limiter = limiter

    async def transact(self, transaction: Transaction) -> Committed | ConditionFailed | Refused:
        """See the port."""
        body = transaction_document(transaction).model_dump_json().encode()
        answer = await self._send("POST", "/transactions", body=body)
        if isinstance(answer, Refused):
            return answer
        if answer.status == 412:
            found = _parse(ConditionDocument, answer)
            if isinstance(found, Refused):
                return found
            return ConditionFailed(found.key, found.version)
        if answer.status == 409:
            detail = "the transaction met another one"
            return not_run(Reason.CONFLICT, detail, CONFLICT_RETRY_SECONDS)
        if answer.status != 200:
            return refusal(SERVICE, answer)
        committed = _parse(CommittedDocument, answer)
        if isinstance(committed, Refused):
            return committed
        if len(committed.versions) != len(transaction.writes):
            return malformed(SERVICE)
        return Committed(tuple(committed.versions))

    async def read(self, key: str) -> Row | Refused | None:
        """See the port."""
        answer = await self._send("GET", "/rows", {"key": key})
        if isinstance(answer, Refused):
            return answer
        if answer.status == 404:
            return None
        if answer.status != 200:
            return refusal(SERVICE, answer)
        row = _parse(RowDocument, answer)
        return row if isinstance(row, Refused) else _row(row)

    async def scan(self, prefix: str, start: str = "", limit: int = 1000) -> RowPage | Refused:
        """See the port."""
        parameters = {"prefix": prefix, "start": start, "limit": str(limit)}
        answer = await self._send("GET", "/rows", parameters)
        if isinstance(answer, Refused):
            return answer
        if answer.status != 200:
            return refusal(SERVICE, answer)
        page = _parse(PageDocument, answer)
        if isinstance(page, Refused):
            return page
        return RowPage(tuple(map(_row, page.rows)), page.next_key)

    async def _send(
        self,
        method: str,
        path: str,
        parameters: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> HttpAnswer | Refused:
        refused = await self._limiter.enter()
        if refused is not None:
            return refused
        headers = JSON_HEADERS if body is not None else None
        request = HttpRequest(method, self._url + path, REQUEST_SECONDS, body, headers, parameters)
        answer = await exchange(self._session, SERVICE, request)
        if isinstance(answer, HttpAnswer) and answer.status == 429:
            limited = refusal(SERVICE, answer)
            self._limiter.heed(limited)
            return limited
        return answer


def transaction_document(transaction: Transaction) -> TransactionDocument:
    """Return a transaction as it is sent."""
    return TransactionDocument.model_construct(
        token=transaction.token,
        conditions=[
            ConditionDocument(key=condition.key, version=condition.version)
            for condition in transaction.conditions
        ],
        writes=[
            WriteDocument.model_construct(key=write.key, value=write.value)
            for write in transaction.writes
        ],
    )


def _parse(model: type[Document], answer: HttpAnswer) -> Document | Refused:
    try:
        return model.model_validate_json(answer.body)
    except ValidationError:
        return malformed(SERVICE)


def _row(document: RowDocument) -> Row:
    return Row(document.key, document.value, document.version)
