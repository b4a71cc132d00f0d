"""The emulated shared store and machine list over HTTP."""

from dataclasses import asdict

from aiohttp import web
from pydantic import ValidationError

from foxwinch.emulator.emulated_services import EmulatedServices
from foxwinch.emulator.http_faults import check_gate, refusal_response, respond
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.ports import Conflict, HistoryLost, RowCondition, RowKey, RowsRead, RowWrite
from foxwinch.storage.records_http import (
    ConditionDocument,
    ConflictDocument,
    RowsDocument,
    TransactionDocument,
    WriteDocument,
    WrittenDocument,
    row_document,
)

AFTER_ALL_KEYS = "\U0010ffff"
MAX_WAIT_SECONDS = 30.0


class PlatformHandlers:
    """HTTP handlers of the platform services."""

    def __init__(self, emulated_services: EmulatedServices) -> None:
        """Serve the models of `emulated_services`."""
        self._emulated_services = emulated_services

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_post("/store/transactions", self.transact)
        router.add_get("/store/rows", self.rows)
        router.add_get("/store/changes", self.changes)
        router.add_get("/platform/machines", self.machines)

    async def transact(self, request: web.Request) -> web.StreamResponse:
        """Apply a transaction."""
        body = await request.read()
        gate = self._emulated_services.store_gate
        refused = await check_gate(gate)
        if refused is not None:
            return refused
        try:
            transaction = TransactionDocument.model_validate_json(body)
        except ValidationError:
            return refusal_response(
                not_run(Reason.INVALID_REQUEST, "the body is not a transaction")
            )
        conditions, writes = _conditions(transaction), _writes(transaction)
        outcome = gate.apply(lambda: self._emulated_services.store.apply(conditions, writes))
        if isinstance(outcome, Conflict):
            rows = [row_document(row) for row in outcome.rows]
            conflict = ConflictDocument.model_construct(
                rows=rows, version=outcome.version, now_ms=outcome.now_ms
            )
            return await respond(request, gate, _json(conflict.model_dump_json(), 412))
        written = WrittenDocument(version=outcome.version, now_ms=outcome.now_ms)
        return await respond(request, gate, _json(written.model_dump_json()))

    async def rows(self, request: web.Request) -> web.StreamResponse:
        """Read a range of a partition."""
        gate = self._emulated_services.store_gate
        refused = await check_gate(gate)
        if refused is not None:
            return refused
        query = request.query
        first = RowKey(query["table"], query.get("partition", ""), query.get("first", ""))
        read = self._emulated_services.store.rows_between(first, query.get("end", AFTER_ALL_KEYS))
        return await respond(request, gate, _rows(read))

    async def changes(self, request: web.Request) -> web.StreamResponse:
        """Return changes of a table, waiting for the first one."""
        gate = self._emulated_services.store_gate
        refused = await check_gate(gate)
        if refused is not None:
            return refused
        query = request.query
        wait_seconds = min(float(query["wait"]), MAX_WAIT_SECONDS)
        after = int(query["after"])
        outcome = await self._emulated_services.store.changes(query["table"], after, wait_seconds)
        if isinstance(outcome, HistoryLost):
            return await respond(request, gate, _json("{}", 410))
        if isinstance(outcome, Refused):
            return refusal_response(outcome)
        return await respond(request, gate, _rows(outcome))

    async def machines(self, request: web.Request) -> web.StreamResponse:
        """Return the machine list, delayed by the faults' lag."""
        gate = self._emulated_services.machines_gate
        refused = await check_gate(gate)
        if refused is not None:
            return refused
        now = self._emulated_services.clock.monotonic()
        listed = self._emulated_services.machines.listed(now, gate.faults.lag_seconds)
        document = {"machines": [asdict(machine) for machine in listed]}
        return await respond(request, gate, web.json_response(document))


def _conditions(document: TransactionDocument) -> tuple[RowCondition, ...]:
    return tuple(RowCondition(_row_key(entry), entry.version) for entry in document.conditions)


def _writes(document: TransactionDocument) -> tuple[RowWrite, ...]:
    return tuple(RowWrite(_row_key(entry), entry.value) for entry in document.writes)


def _row_key(entry: ConditionDocument | WriteDocument) -> RowKey:
    return RowKey(entry.table, entry.partition, entry.key)


def _rows(read: RowsRead) -> web.Response:
    document = RowsDocument.model_construct(
        rows=[row_document(row) for row in read.rows], version=read.version, now_ms=read.now_ms
    )
    return _json(document.model_dump_json())


def _json(text: str, status: int = 200) -> web.Response:
    return web.Response(text=text, status=status, content_type="application/json")
