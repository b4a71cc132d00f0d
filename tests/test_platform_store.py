"""The client of the platform's store, tested against a server that paginates its responses."""

import base64

import pytest
from aiohttp import web

from foxwinch.outcomes import Refused, RunState
from foxwinch.platform.store_client import PlatformStore
from foxwinch.records.ports import HistoryLost, RowCondition, RowKey
from foxwinch.serving.metrics import ServingMetrics

PAGE_SIZE = 2


class PagingServer:
    """Serves five rows, two per page; the table changes with every page that is read."""

    def __init__(self):
        self.version = 10
        self.keys = ["a", "b", "b/1", "c", "d"]
        self.status = 200
        self.spoiled = {}

    async def read(self, request):
        if self.status != 200:
            return web.Response(status=self.status)
        start, end = request.query["from"], request.query.get("target_version")
        keys = [key for key in self.keys if key >= start and (end is None or key < end)]
        rows = [
            {"table": "t", "part": "", "tls_key": key, "value": _encoded(key), "ver": 1}
            | self.spoiled.get(key, {})
            for key in keys[:PAGE_SIZE]
        ]
        self.version += 1
        document = {"rows": rows, "more": len(keys) > PAGE_SIZE, "ver": self.version, "now_ms": 5}
        return web.json_response(document)

    async def reject(self, request):
        """Reject a transaction with the current rows of its conditions."""
        body = await request.json()
        rows = [
            {"table": "t", "part": "", "tls_key": key, "value": _encoded(key), "ver": 7}
            | self.spoiled.get(key, {})
            for key in (entry["tls_key"] for entry in body["if_rev"])
        ]
        return web.json_response({"rows": rows, "ver": 9, "now_ms": 5}, status=412)


def _encoded(key):
    return base64.b64encode(key.encode()).decode()


@pytest.fixture
async def server_and_store():
    server = PagingServer()
    application = web.Application()
    application.router.add_get("/v1/rows-get", server.read)
    application.router.add_get("/v1/rows-feed", server.read)
    application.router.add_post("/v1/rows-tx", server.reject)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    store = PlatformStore(f"{host}:{port}", ServingMetrics())
    yield server, store
    await store.close()
    await runner.cleanup()


async def test_a_table_read_returns_all_pages_with_the_version_of_the_first(server_and_store):
    _, store = server_and_store
    read = await store.read_table("t", 5.0)
    assert [row.row.key for row in read.rows] == ["a", "b", "b/1", "c", "d"]
    assert [row.value for row in read.rows][2] == b"b/1"
    assert read.version == 11


async def test_a_range_read_returns_all_pages(server_and_store):
    _, store = server_and_store
    read = await store.read(RowKey("t", "", "b"), "d", 5.0)
    assert [row.row.key for row in read.rows] == ["b", "b/1", "c"]


@pytest.mark.parametrize(
    ("status", "run_state"),
    [(503, RunState.NOT_RUN), (429, RunState.NOT_RUN), (500, RunState.UNKNOWN)],
)
async def test_the_run_state_of_a_refusal_follows_from_the_status(
    server_and_store, status, run_state
):
    server, store = server_and_store
    server.status = status
    read = await store.read_table("t", 5.0)
    assert isinstance(read, Refused)
    assert read.run_state is run_state


async def test_a_compacted_history_is_reported(server_and_store):
    server, store = server_and_store
    server.status = 410
    assert isinstance(await store.changes("t", 1, 0.1), HistoryLost)


async def test_a_call_to_an_unreachable_store_did_not_run():
    store = PlatformStore("127.0.0.1:1", ServingMetrics())
    read = await store.read_table("t", 5.0)
    await store.close()
    assert isinstance(read, Refused)
    assert read.run_state is RunState.NOT_RUN


# Guards against discarding a complete table because one row could not be decoded.
@pytest.mark.parametrize("key", ["a", "b", "c", "d"])
@pytest.mark.parametrize("spoiled", [{"value": "abc"}, {"value": None}, {"ver": 1e999}])
async def test_a_malformed_row_does_not_affect_other_rows(server_and_store, key, spoiled):
    server, store = server_and_store
    server.spoiled[key] = spoiled
    read = await store.read_table("t", 5.0)
    assert [row.row.key for row in read.rows] == [other for other in server.keys if other != key]
    assert [row.key for row in read.malformed_rows] == [key]


async def test_a_page_without_a_key_to_continue_from_is_an_error(server_and_store):
    server, store = server_and_store
    for no_key in (None, 7, ["a"]):
        server.spoiled = {key: {"tls_key": no_key} for key in server.keys}
        assert isinstance(await store.read_table("t", 5.0), Refused)


async def test_a_conflict_contains_the_rows_that_can_be_decoded(server_and_store):
    server, store = server_and_store
    server.spoiled["a"] = {"value": 7}
    conditions = tuple(RowCondition(RowKey("t", "", key), 1) for key in ("a", "b"))
    conflict = await store.transact(conditions, (), 5.0)
    assert (conflict.version, [row.row.key for row in conflict.rows]) == (9, ["b"])
    assert [row.key for row in conflict.malformed_rows] == ["a"]
