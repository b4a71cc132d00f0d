"""Table service, object store and machine list of the stand-ins over HTTP."""

from dataclasses import asdict

from aiohttp import web
from pydantic import ValidationError

from foxwinch.emulator.http_faults import answer, refusal_response, refused_at
from foxwinch.emulator.stand_ins import StandIns
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.storage.ports import Condition, ConditionFailed, Row, Transaction, Write
from foxwinch.storage.table_http import (
    CommittedDocument,
    ConditionDocument,
    PageDocument,
    RowDocument,
    TransactionDocument,
)

MAXIMUM_PAGE_ROWS = 1_000


class PlatformHandlers:
    """Handlers of the platform's services."""

    def __init__(self, stand_ins: StandIns) -> None:
        """Serve the models of `stand_ins`."""
        self._stand_ins = stand_ins

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handlers."""
        router.add_post("/table/transactions", self.transact)
        router.add_get("/table/rows", self.rows)
        router.add_put("/store/objects/{key}", self.put_object)
        router.add_get("/store/objects/{key}", self.get_object)
        router.add_delete("/store/objects/{key}", self.delete_object)
        router.add_get("/platform/machines", self.machines)

    async def transact(self, request: web.Request) -> web.StreamResponse:
        """Apply a transaction."""
        body = await request.read()
        gate = self._stand_ins.table_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        try:
            transaction = _transaction(TransactionDocument.model_validate_json(body))
        except ValidationError:
            return refusal_response(not_run(Reason.INVALID_REQUEST, "not a transaction"))
        outcome = gate.apply(lambda: self._stand_ins.table.transact(transaction))
        if isinstance(outcome, Refused):
            return refusal_response(outcome)
        if isinstance(outcome, ConditionFailed):
            found = ConditionDocument(key=outcome.key, version=outcome.version)
            return await answer(request, gate, _json(found.model_dump_json(), 412))
        committed = CommittedDocument(versions=list(outcome.versions))
        return await answer(request, gate, _json(committed.model_dump_json()))

    async def rows(self, request: web.Request) -> web.StreamResponse:
        """Read one row or a page."""
        gate = self._stand_ins.table_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        key = request.query.get("key")
        if key is None:
            return await answer(request, gate, self._page(request))
        row = self._stand_ins.table.read(key)
        response = web.Response(status=404) if row is None else _json(_row(row).model_dump_json())
        return await answer(request, gate, response)

    def _page(self, request: web.Request) -> web.Response:
        limit = min(int(request.query.get("limit", MAXIMUM_PAGE_ROWS)), MAXIMUM_PAGE_ROWS)
        page = self._stand_ins.table.scan(
            request.query.get("prefix", ""), request.query.get("start", ""), limit
        )
        document = PageDocument.model_construct(
            rows=[_row(row) for row in page.rows], next_key=page.next_key
        )
        return _json(document.model_dump_json())

    async def put_object(self, request: web.Request) -> web.StreamResponse:
        """Store an object."""
        data = await request.read()
        gate = self._stand_ins.objects_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        key = request.match_info["key"]
        outcome = gate.apply(lambda: self._stand_ins.objects.put(key, data))
        if isinstance(outcome, Refused):
            return refusal_response(outcome)
        return await answer(request, gate, web.Response(status=204))

    async def get_object(self, request: web.Request) -> web.StreamResponse:
        """Read an object."""
        gate = self._stand_ins.objects_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        data = self._stand_ins.objects.get(request.match_info["key"])
        response = web.Response(status=404) if data is None else web.Response(body=data)
        return await answer(request, gate, response)

    async def delete_object(self, request: web.Request) -> web.StreamResponse:
        """Delete an object."""
        gate = self._stand_ins.objects_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        self._stand_ins.objects.delete(request.match_info["key"])
        return await answer(request, gate, web.Response(status=204))

    async def machines(self, request: web.Request) -> web.StreamResponse:
        """Read the lagging list."""
        gate = self._stand_ins.machines_gate
        refused = await refused_at(gate)
        if refused is not None:
            return refused
        now = self._stand_ins.clock.monotonic()
        listed = self._stand_ins.machines.listed(now, gate.faults.lag_seconds)
        document = {"machines": [asdict(machine) for machine in listed]}
        return await answer(request, gate, web.json_response(document))


def _transaction(document: TransactionDocument) -> Transaction:
    return Transaction(
        document.token,
        tuple(Condition(condition.key, condition.version) for condition in document.conditions),
        tuple(Write(write.key, write.value) for write in document.writes),
    )


def _row(row: Row) -> RowDocument:
    return RowDocument.model_construct(key=row.key, value=row.value, version=row.version)


def _json(text: str, status: int = 200) -> web.Response:
    return web.Response(text=text, status=status, content_type="application/json")
