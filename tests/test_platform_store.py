"""The client of the platform's store against a server that pages its answers."""

import base64

import pytest
from aiohttp import web

from foxwinch.outcomes import Refused, RunState
from foxwinch.platform.store_client import PlatformStore
from foxwinch.records.ports import HistoryLost, RowCondition, RowKey
from foxwinch.serving.metrics import ServingMetrics

PAGE = 2


class PagingServer:
    """Five rows, two a page; the table changes with every page that is read."""

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
            for key in keys[:PAGE]
        ]
        self.version += 1
        document = {"rows": rows, "more": len(keys) > PAGE, "ver": self.version, "now_ms": 5}
        return web.json_response(document)

    async def refuse(self, request):
        """Answer a transaction with the rows of its conditions as they stand."""
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
async def served():
    server = PagingServer()
    application = web.Application()
    application.router.add_get("/v1/rows-get", server.read)
    application.router.add_get("/v1/rows-feed", server.read)
    application.router.add_post("/v1/rows-tx", server.refuse)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    store = PlatformStore(f"{host}:{port}", ServingMetrics())
    yield server, store
    await store.close()
    await runner.cleanup()


async def test_a_table_is_read_over_all_its_pages_as_of_the_first(served):
    _, store = served
    read = await store.read_table("t", 5.0)
    assert [row.row.key for row in read.rows] == ["a", "b", "b/1", "c", "d"]
    assert [row.value for row in read.rows][2] == b"b/1"
    assert read.version == 11


async def test_a_range_is_read_over_all_its_pages(served):
    _, store = served
    read = await store.read(RowKey("t", "", "b"), "d", 5.0)
    assert [row.row.key for row in read.rows] == ["b", "b/1", "c"]


@pytest.mark.parametrize(
    ("status", "run_state"),
    [(503, RunState.NOT_RUN), (429, RunState.NOT_RUN), (500, RunState.UNKNOWN)],
)
async def test_refusals_tell_whether_anything_was_done(served, status, run_state):
    server, store = served
    server.status = status
    read = await store.read_table("t", 5.0)
    assert isinstance(read, Refused)
    assert read.run_state is run_state


async def test_a_lost_history_is_told(served):
    server, store = served
    server.status = 410
    assert isinstance(await store.changes("t", 1, 0.1), HistoryLost)


async def test_a_store_that_is_not_there_did_nothing():
    store = PlatformStore("127.0.0.1:1", ServingMetrics())
    read = await store.read_table("t", 5.0)
    await store.close()
    assert isinstance(read, Refused)
    assert read.run_state is RunState.NOT_RUN


# Guards against a table of which nothing was read because one row could not be decoded.
@pytest.mark.parametrize("key", ["a", "b", "c", "d"])
@pytest.mark.parametrize("spoiled", [{"value": "abc"}, {"value": None}, {"ver": 1e999}])
async def test_a_row_that_cannot_be_decoded_hides_no_other(served, key, spoiled):
    server, store = served
    server.spoiled[key] = spoiled
    read = await store.read_table("t", 5.0)
    assert [row.row.key for row in read.rows] == [other for other in server.keys if other != key]
    assert [row.key for row in read.malformed_rows] == [key]


async def test_pages_without_a_key_to_go_on_from_are_refused(served):
    server, store = served
    for no_key in (None, 7, ["a"]):
        server.spoiled = {key: {"tls_key": no_key} for key in server.keys}
        assert isinstance(await store.read_table("t", 5.0), Refused)


async def test_a_conflict_tells_the_rows_that_can_be_decoded(served):
    server, store = served
    server.spoiled["a"] = {"value": 7}
    conditions = tuple(RowCondition(RowKey("t", "", key), 1) for key in ("a", "b"))
    conflict = await store.transact(conditions, (), 5.0)
    assert (conflict.version, [row.row.key for row in conflict.rows]) == (9, ["b"])
    assert [row.key for row in conflict.malformed_rows] == ["a"]
