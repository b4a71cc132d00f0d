"""Decodes the answers of the platform's store, row by row, and writes down what goes to it."""

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
    MalformedRow,
    RowCondition,
    RowKey,
    RowsRead,
    RowWrite,
    StoredRow,
    Written,
)

STATUS_DONE = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_LIMITED = 429
STATUS_UNAVAILABLE = 503
UNREADABLE = (ValueError, KeyError, TypeError, OverflowError)
"""What decoding a document of another shape raises."""
log = EventLog("store")


class Answer(NamedTuple):
    """Status and document of a whole answer."""

    status: int
    document: Any


def transaction_document(
    conditions: tuple[RowCondition, ...], writes: tuple[RowWrite, ...]
) -> dict[str, Any]:
    """Return the body of a transaction."""
    return {
        CONDITIONS: [{**_place(entry.row), ROW_VERSION: entry.version} for entry in conditions],
        WRITES: [
            {**_place(write.row), ROW_VALUE: base64.b64encode(write.value).decode()}
            for write in writes
            if write.value is not None
        ],
        REMOVALS: [_place(write.row) for write in writes if write.value is None],
    }


def transacted(answer: Answer) -> Written | Conflict | Refused:
    """Decode the answer to a transaction."""
    if answer.status not in (STATUS_DONE, STATUS_CONFLICT):
        return refusal(answer)
    try:
        version = int(answer.document[ROW_VERSION])
        now_ms = int(answer.document[STORE_CLOCK_MS])
        if answer.status == STATUS_DONE:
            return Written(version, now_ms)
        rows, unreadable = _read_rows(answer.document[ROWS], version)
    except UNREADABLE as error:
        return _unreadable(error)
    return Conflict(rows, version, now_ms, unreadable)


def rows_read(answer: Answer) -> RowsRead | Refused:
    """Decode a page of rows, or the changes of a table."""
    if answer.status != STATUS_DONE:
        return refusal(answer)
    try:
        document = answer.document
        version, now_ms = int(document[ROW_VERSION]), int(document[STORE_CLOCK_MS])
        rows, unreadable = _read_rows(document[ROWS], version)
    except UNREADABLE as error:
        return _unreadable(error)
    return RowsRead(rows, bool(document.get(MORE_PAGES)), version, now_ms, unreadable)


def refusal(answer: Answer) -> Refused:
    """Tell from its status whether a refused call may have been done."""
    detail = f"the store answered {answer.status}"
    if answer.status == STATUS_LIMITED:
        return not_run(Reason.RATE_LIMITED, detail)
    if answer.status == STATUS_UNAVAILABLE:
        return not_run(Reason.STORE_UNAVAILABLE, detail)
    return Refused(Reason.STORE_UNAVAILABLE, RunState.UNKNOWN, detail)


def _unreadable(error: Exception) -> Refused:
    log.warning("store_answer_unreadable", error=type(error).__name__, detail=str(error))
    return outcome_unknown(Reason.STORE_UNAVAILABLE, "the store's answer is unreadable")


def _read_rows(
    entries: list[Any], newest: int
) -> tuple[tuple[StoredRow, ...], tuple[MalformedRow, ...]]:
    """Decode rows one by one; those that cannot be decoded hide none of the others."""
    rows: list[StoredRow] = []
    unreadable: list[MalformedRow] = []
    for entry in entries:
        row = _read_row(entry, newest)
        if isinstance(row, StoredRow):
            rows.append(row)
        else:
            log.warning("row_unreadable", key=row.key, version=row.version, reason=row.reason)
            unreadable.append(row)
    return tuple(rows), tuple(unreadable)


def _read_row(entry: Any, newest: int) -> StoredRow | MalformedRow:
    """Decode one row; one that tells no version counts as the store's newest."""
    try:
        return _row(entry)
    except UNREADABLE as error:
        told = entry if isinstance(entry, dict) else {}
        key, version = told.get(ROW_KEY), told.get(ROW_VERSION)
        return MalformedRow(
            key if isinstance(key, str) else "",
            version if isinstance(version, int) else newest,
            f"{type(error).__name__}: {error}",
        )


def _row(entry: dict[str, Any]) -> StoredRow:
    key = entry[ROW_KEY]
    if not isinstance(key, str):
        raise TypeError("the key is no text")
    row = RowKey(entry[ROW_TABLE], entry.get(ROW_PARTITION, ""), key)
    version = int(entry.get(ROW_VERSION, ABSENT_VERSION))
    if entry.get(ROW_REMOVED) or version == ABSENT_VERSION:
        return StoredRow(row, None, version)
    return StoredRow(row, base64.b64decode(entry[ROW_VALUE], validate=True), version)


def _place(row: RowKey) -> dict[str, str]:
    return {ROW_TABLE: row.table, ROW_PARTITION: row.partition, ROW_KEY: row.key}
