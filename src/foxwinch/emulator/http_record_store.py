"""The emulated shared store over the wire protocol of the users' platform."""

import base64
from typing import Any

from aiohttp import web

from foxwinch.emulator.record_store import RecordStoreModel
from foxwinch.outcomes import Reason, Refused, RunState
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

UNRESPONSIVE_SECONDS = 3_600.0
"""Time that an unresponsive store holds a request; clients time out long before."""
AFTER_ALL_KEYS = "\U0010ffff"


class RecordStoreHandlers:
    """HTTP handlers of the store's operations."""

    def __init__(self, model: RecordStoreModel) -> None:
        """Serve `model`."""
        self._model = model
        self.row_overrides: dict[str, dict[str, Any]] = {}
        """Fields that replace those in a row's document, by row key, as from another writer."""

    def application(self) -> web.Application:
        """Return an aiohttp application with all handlers."""
        application = web.Application(client_max_size=1 << 21)
        application.router.add_post("/v1/rows-tx", self._transact)
        application.router.add_get("/v1/rows-get", self._read)
        application.router.add_get("/v1/rows-feed", self._changes)
        return application

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        conditions = tuple(RowCondition(_row_key(entry), entry["ver"]) for entry in body["if_rev"])
        writes = [
            RowWrite(_row_key(entry), base64.b64decode(entry["value"])) for entry in body["put"]
        ]
        writes += [RowWrite(_row_key(entry), None) for entry in body["remove"]]
        return self._respond(
            await self._model.transact(conditions, tuple(writes), UNRESPONSIVE_SECONDS)
        )

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        partition = query.get("part", "")
        first = RowKey(query["table"], partition, query.get("from", ""))
        end_key = query.get("target_version", AFTER_ALL_KEYS)
        return self._respond(await self._model.read(first, end_key, UNRESPONSIVE_SECONDS))

    async def _changes(self, request: web.Request) -> web.Response:
        query = request.query
        wait_seconds = int(query["wait_ms"]) / 1e3
        outcome = await self._model.changes(query["table"], int(query["after"]), wait_seconds)
        if isinstance(outcome, HistoryLost):
            return web.json_response({}, status=410)
        return self._respond(outcome)

    def _respond(self, outcome: Written | Conflict | RowsRead | Refused) -> web.Response:
        match outcome:
            case Written():
                return web.json_response({"ver": outcome.version, "now_ms": outcome.now_ms})
            case Conflict():
                rows = [self._row_document(row) for row in outcome.rows]
                document = {"rows": rows, "ver": outcome.version, "now_ms": outcome.now_ms}
                return web.json_response(document, status=412)
            case RowsRead():
                document = {
                    "rows": [self._row_document(row) for row in outcome.rows],
                    "more": outcome.more,
                    "ver": outcome.version,
                    "now_ms": outcome.now_ms,
                }
                return web.json_response(document)
            case Refused():
                return web.json_response({}, status=_status(outcome))

    def _row_document(self, row: StoredRow) -> dict[str, Any]:
        document: dict[str, Any] = {
            "table": row.row.table,
            "part": row.row.partition,
            "tls_key": row.row.key,
            "ver": row.version,
        }
        if row.value is None:
            return {**document, "gone": True}
        value = base64.b64encode(row.value).decode()
        return {**document, "value": value, **self.row_overrides.get(row.row.key, {})}


def _status(refused: Refused) -> int:
    if refused.reason is Reason.RATE_LIMITED:
        return 429
    return 503 if refused.run_state is RunState.NOT_RUN else 500


def _row_key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry.get("part", ""), entry["tls_key"])
