"""Encoding of requests to the platform's store and decoding of its responses."""

import base64
from typing import Any, NamedTuple

from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown
from foxwinch.platform.names import (
    CONDITIONS,
    MORE_PAGES,
    REMOVALS,
    ROW_KEY,
    ROW_PARTITION,
    ROW_REMOVED,
    ROW_TABLE,
    ROW_VALUE,
    ROW_VERSION,
    ROWS,
    STORE_CLOCK_MS,
    WRITES,
)
from foxwinch.records.ports import (
    ABSENT_VERSION,
    Conflict,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    UnreadableRow,
    Written,
)

STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
DECODE_ERRORS = (ValueError, KeyError, TypeError, OverflowError)
"""Exceptions that decoding a malformed document raises."""
log = EventLog("store")


class StoreResponse(NamedTuple):
    """Status and JSON document of a complete response."""

    status: int
    document: Any


def encode_transaction(
    conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
) -> dict[str, Any]:
    """Return the JSON body of a transaction."""
    return {
        CONDITIONS: [
            {**_row_address(entry.row), ROW_VERSION: entry.version} for entry in conditions
        ],
        WRITES: [
            {**_row_address(write.row), ROW_VALUE: base64.b64encode(write.value).decode()}
            for write in writes
            if write.value is not None
        ],
        REMOVALS: [_row_address(write.row) for write in writes if write.value is None],
    }


def decode_transaction(response: StoreResponse) -> Written | Conflict | Refused:
    """Decode the response to a transaction."""
    if response.status not in (STATUS_OK, STATUS_CONFLICT):
        return refusal_for_status(response)
    try:
        version = int(response.document[ROW_VERSION])
        now_ms = int(response.document[STORE_CLOCK_MS])
        if response.status == STATUS_OK:
            return Written(version, now_ms)
        rows, unreadable = _decode_rows(response.document[ROWS], version)
    except DECODE_ERRORS as error:
        return _malformed_response(error)
    return Conflict(rows, version, now_ms, unreadable)


def decode_rows(response: StoreResponse) -> RowsRead | Refused:
    """Decode a page of rows or the changes of a table."""
    if response.status != STATUS_OK:
        return refusal_for_status(response)
    try:
        document = response.document
        version, now_ms = int(document[ROW_VERSION]), int(document[STORE_CLOCK_MS])
        rows, unreadable = _decode_rows(document[ROWS], version)
    except DECODE_ERRORS as error:
        return _malformed_response(error)
    return RowsRead(rows, bool(document.get(MORE_PAGES)), version, now_ms, unreadable)


def refusal_for_status(response: StoreResponse) -> Refused:
    """Return the refusal for an error status, with whether the call may have taken effect."""
    detail = f"the store returned status {response.status}"
    if response.status == STATUS_TOO_MANY_REQUESTS:
        return not_run(Reason.RATE_LIMITED, detail)
    if response.status == STATUS_UNAVAILABLE:
        return not_run(Reason.STORE_UNAVAILABLE, detail)
    return Refused(Reason.STORE_UNAVAILABLE, RunState.UNKNOWN, detail)


def _malformed_response(error: Exception) -> Refused:
    log.warning("store_answer_unreadable", error=type(error).__name__, detail=str(error))
    return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store returned a malformed response")


def _decode_rows(
    entries: list[Any], newest_version: int
) -> tuple[tuple[StoredRow, ...], tuple[UnreadableRow, ...]]:
    """Decode rows one by one, so that a malformed row does not affect the others."""
    rows: list[StoredRow] = []
    unreadable: list[UnreadableRow] = []
    for entry in entries:
        row = _decode_row(entry, newest_version)
        if isinstance(row, StoredRow):
            rows.append(row)
        else:
            log.warning("row_unreadable", key=row.key, version=row.version, reason=row.reason)
            unreadable.append(row)
    return tuple(rows), tuple(unreadable)


def _decode_row(entry: Any, newest_version: int) -> StoredRow | UnreadableRow:
    """Decode one row; a malformed row without a version gets the store's newest version."""
    try:
        return _parse_row(entry)
    except DECODE_ERRORS as error:
        fields = entry if isinstance(entry, dict) else {}
        key, version = fields.get(ROW_KEY), fields.get(ROW_VERSION)
        return UnreadableRow(
            key if isinstance(key, str) else "",
            version if isinstance(version, int) else newest_version,
            f"{type(error).__name__}: {error}",
        )


def _parse_row(entry: dict[str, Any]) -> StoredRow:
    key = entry[ROW_KEY]
    if not isinstance(key, str):
        raise TypeError("row key is not a string")
    row = RowKey(entry[ROW_TABLE], entry.get(ROW_PARTITION, ""), key)
    version = int(entry.get(ROW_VERSION, ABSENT_VERSION))
    if entry.get(ROW_REMOVED) or version == ABSENT_VERSION:
        return StoredRow(row, None, version)
    return StoredRow(row, base64.b64decode(entry[ROW_VALUE], validate=True), version)


def _row_address(row: RowKey) -> dict[str, str]:
    return {ROW_TABLE: row.table, ROW_PARTITION: row.partition, ROW_KEY: row.key}
