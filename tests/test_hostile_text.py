"""Texts of other processes that no sound one sends, read by real nodes."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from fake_platform import HOST, RETAINED, SAFE, STREAM, FakePlatform, configuration, wait_until
from fake_worker import FakeResponse, FakeWorker, events
from foxwinch._generated.crashes_pb2 import (
    CrashHistoryMessage,
    CrashMessage,
    CrashNoticeMessage,
    CrashNoticesMessage,
    DoubtMessage,
    NodeMessage,
    SendClaimMessage,
    StartedSendMessage,
)
from foxwinch.core.records.crash_history import MAX_CRASHES
from foxwinch.records.crash_records import CRASHES_TABLE
from foxwinch.records.node_registry import NODES_TABLE
from foxwinch.service_tasks import FAILED_SERVICE

START_MS = 1_790_000_000_000
LAST_EVENT = 6
LISTING_SECONDS = 0.1
"""Time from the first worker's request to its response, in which the second one is listed."""
REPORTS = {
    "deep": b"[" * 20_000,
    "deep objects": b'{"born":' * 10_000,
    "large number": b'{"born": %s}' % (b"9" * 4_000),
    "too many digits": b'{"born": %s}' % (b"9" * 5_000),
    "number with an exponent": b'{"born": 1e400}',
    "not UTF-8": b'{"born": "\xff"}',
    "surrogate": b'{"born": "\\ud800"}',
    "text": b"born",
    "empty": b"",
}
EVENT_IDS = {
    "many digits": b"9" * 5_000,
    "20 digits": b"9" * 20,
    "skips events": b"6",
    "falls": b"1",
    "negative": b"-4",
    "not a number": b"four",
    "other digits": "\u0664".encode(),
}


class FailedTasks:
    """Collects the contexts of failed tasks, each of which would end a node's process."""

    def __init__(self):
        self.failures = []
        asyncio.get_running_loop().set_exception_handler(self._handle)

    def _handle(self, loop, context):
        self.failures.append(context)

    def check(self):
        assert not [each for each in self.failures if FAILED_SERVICE in each], self.failures


@asynccontextmanager
async def two_workers(first, second):
    """Provide a platform with a node; only the first worker is listed."""
    async with FakePlatform([first, second]) as platform:
        platform.model.put("op", "config", configuration())
        platform.model.remove("servers", "w1")
        await platform.start_node()
        failed = FailedTasks()
        yield platform
        failed.check()


# Guards against a report whose decoding fails in a way that counts as a violated invariant and ends
# each node that reads it.
@pytest.mark.parametrize("report", REPORTS)
@pytest.mark.parametrize("started_ms", [None, START_MS])
async def test_no_report_of_a_worker_ends_a_node(started_ms, report):
    odd = FakeWorker(FakeResponse(drop=True))
    odd.report = REPORTS[report]
    async with two_workers(odd, FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        if started_ms is not None:
            platform.list_worker(0, born=started_ms)
            await wait_until(lambda: started_of(node, "w0"), started_ms)
        assert (await platform.request(node, SAFE, "r1")).status == 502
        await wait_until(lambda: was_checked(odd), True)
        platform.list_worker(1)
        await wait_until(lambda: count_workers(node), 2)
        for number in range(4):
            reply = await platform.request(node, SAFE, f"s{number}")
            assert reply.status == 200


async def started_of(node, worker_id):
    """Return the start of a worker as a node knows it."""
    workers = node.node.routing.directory.known_workers()
    return next((each.started_ms for each in workers if each.worker_id == worker_id), None)


async def was_checked(worker):
    """Return whether a worker's report or health was asked for."""
    return worker.health_checks > 0


async def count_workers(node):
    """Return the number of workers that a node knows."""
    return len(node.node.routing.directory.known_workers())


def with_id(number, event_id):
    """Return an event whose id is replaced."""
    return events(number, number)[0].replace(b"id: %d" % number, b"id: " + event_id)


# Guards against an event id that is taken for progress or stops the stream's request with 500: the
# caller got a complete response without the events between (ORDER).
@pytest.mark.parametrize("position", [1, 4])
@pytest.mark.parametrize("event_id", EVENT_IDS)
@pytest.mark.parametrize("path", [STREAM, RETAINED])
async def test_a_stream_with_an_odd_event_id_is_complete_or_cut(path, event_id, position):
    if EVENT_IDS[event_id] == b"%d" % position:
        pytest.skip("the id is the expected one")
    odd = [*events(1, position - 1), with_id(position, EVENT_IDS[event_id])]
    first = FakeWorker(FakeResponse(body=None, chunks=odd, cut=True, delay_seconds=LISTING_SECONDS))
    rest = events(position, LAST_EVENT) if path == STREAM else events(1, LAST_EVENT)
    second = FakeWorker(FakeResponse(body=None, chunks=rest))
    async with two_workers(first, second) as platform:
        (node,) = platform.nodes
        opening = asyncio.ensure_future(platform.request_turn(node, "r1", path=path))
        await wait_until(lambda: count_received(first), 1)
        platform.list_worker(1)
        reply = await opening
        if reply.is_complete and reply.status == 200:
            assert reply.body == b"".join(events(1, LAST_EVENT))
        else:
            assert reply.status in (200, 502, 503)


async def count_received(worker):
    """Return the number of requests that a worker received."""
    return len(worker.received)


NUMBERS = (
    "1e999",
    "nan",
    "-inf",
    "-1",
    "9" * 18,
    "9" * 400,
    "9" * 5_000,
    "\u0664",
    "1_0",
    "0x1",
    "1.5",
    ",",
    "four",
)
NUMERIC_HEADERS = (
    "Deadline-Ms",
    "Finish-Ms",
    "Token-Budget",
    "Token-Count",
    "Length-Hint",
    "Prompt-Prefix",
    "Last-Event-Id",
)
TEXT_HEADERS = ("Program", "Session", "Previous-Turn", "Resumes", "Affinity", "Request-Id")
TEXTS = ("x" * 300, "a/b", "..", "\u00e9" * 90, "a\tb", "%00", "/" * 250)


# Guards against a header of a caller whose decoding or use fails: its request got 500, or a task of
# the node failed.
@pytest.mark.parametrize("path", [SAFE, STREAM, RETAINED])
async def test_no_header_of_a_caller_fails_a_node(path):
    response = FakeResponse() if path == SAFE else FakeResponse(body=None, chunks=events(1, 3))
    async with two_workers(FakeWorker(response), FakeWorker(response)) as platform:
        (node,) = platform.nodes
        cases = [(name, value) for name in NUMERIC_HEADERS for value in NUMBERS]
        cases += [(name, value) for name in TEXT_HEADERS for value in TEXTS]
        for number, (name, value) in enumerate(cases):
            values = {"Finish-Ms": "9000", "Token-Budget": "10000", "Token-Count": "1000,575"}
            values |= {"Program": f"p{number}", "Session": "l1", name: value}
            request_id = values.pop("Request-Id", f"r{number}")
            reply = await platform.request(node, path, request_id, **values)
            assert reply.status != 500, (name, value)
        assert (await platform.request_turn(node, "last", path=path)).status == 200


# Guards against an identifier that is not text, whose request got 500 or ran without an answer.
@pytest.mark.parametrize(
    ("name", "status"),
    [("Request-Id", b"400"), ("Program", b"400"), ("Affinity", b"400"), ("Accept", b"200")],
)
async def test_an_identifier_that_is_not_text_is_refused_and_not_run(name, status):
    worker = FakeWorker(FakeResponse())
    async with two_workers(worker, FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        host, _, port = node.address_of("callers").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"GET {SAFE} HTTP/1.1\r\nHost: {HOST}\r\n{name}: a".encode()
        writer.write(head + b"\xff\xe9b\r\n\r\n")
        assert (await reader.readline()).split()[1] == status
        writer.close()
        received = sum(len(each.received) for each in platform.workers)
        assert received == (status == b"200")


# Guards against a status that is none, which was passed on to the caller (MIXED).
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
@pytest.mark.parametrize("path", ["/confirm/", STREAM])
async def test_a_status_that_is_none_is_not_passed_on(path, status):
    worker = FakeWorker(FakeResponse())
    async with two_workers(worker, FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        raw = b"HTTP/1.1 %s Odd\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n" % status
        for each in platform.workers:
            each.responses = [FakeResponse(extra_before=raw, drop=True)]
        reply = await platform.request(node, path, "r", body=b"x")
        assert reply.status == 502


def odd_values(rng):
    """Return stored values that no foxwinch node writes, some of them readable."""
    most = 2**64 - 1
    crash = CrashMessage(worker="w0", recorded_ms=most, sent_ms=most)
    doubt = DoubtMessage(worker="\n" * 300, lost_ms=most, ends_ms=most, unsuspected=True)
    claim = SendClaimMessage(holder="x", worker="w0", expires_ms=most)
    history = CrashHistoryMessage(crashes=[crash] * 4, doubts=[doubt] * 4, claim=claim)
    addresses = ("", "nowhere", "127.0.0.1:99999", "[::1]:x", "127.0.0.1:-1", "\u0661.0.0.1:80")
    nodes = [NodeMessage(refreshed_ms=most, address=each, zone="z" * 300) for each in addresses]
    values = [message.SerializeToString() for message in (history, *nodes)]
    values += [b"", b"[" * 50_000, b'{"service":' * 5_000, b"\xff" * 40, b'{"slots": 1e999}']
    return values + [rng.randbytes(rng.randrange(60)) for _ in range(20)]


# Guards against a row of another writer that ends the nodes which read it, or stops them from
# following the table.
@pytest.mark.parametrize("table", ["servers", NODES_TABLE, CRASHES_TABLE, "op"])
async def test_no_row_of_another_writer_fails_a_node(table):
    rng = random.Random(table)
    drop, sound = FakeWorker(FakeResponse(drop=True)), FakeWorker(FakeResponse())
    async with two_workers(drop, sound) as platform:
        for number, value in enumerate(odd_values(rng)):
            platform.model.put(table, f"odd {number}", value)
        await platform.start_node()
        platform.list_worker(1)
        for node in platform.nodes:
            await wait_until(lambda node=node: count_workers(node), 2)
        for number in range(MAX_CRASHES):
            node = platform.nodes[number % 2]
            await platform.request_turn(node, f"r{number}", path=SAFE, body=b"%d" % number)
        platform.model.remove("servers", "w0")
        for number, node in enumerate(platform.nodes):
            await wait_until(lambda node=node: count_listed(node), 1)
            reply = await platform.request(node, SAFE, f"s{number}")
            assert reply.status == 200


async def count_listed(node):
    """Return the number of listed workers that a node knows."""
    directory = node.node.routing.directory
    ids = [each.worker_id for each in directory.known_workers()]
    return sum(directory.listed_incarnation(each) is not None for each in ids)


def odd_datagrams(rng):
    """Return datagrams that no foxwinch node sends, some of them readable."""
    most = 2**64 - 1
    sends = [
        StartedSendMessage(fingerprint=fingerprint, worker=worker, sent_ms=most, lasts_ms=2**32 - 1)
        for fingerprint in (b"", b"f", b"f" * 40)
        for worker in ("", "w0", "w" * 5_000)
    ]
    loss = DoubtMessage(worker="w0", lost_ms=most, ends_ms=most)
    notices = [
        CrashNoticeMessage(fingerprint=fingerprint, doubt=loss, cleared=cleared)
        for fingerprint in ("", "f" * 32, "\n")
        for cleared in (False, True)
    ]
    messages = [CrashNoticesMessage(sends=[send], run=run) for send in sends for run in (0, 7)]
    messages += [CrashNoticesMessage(notices=[notice, CrashNoticeMessage()]) for notice in notices]
    messages += [
        CrashNoticesMessage(asks=True, asks_run=True, run=most >> 32),
        CrashNoticesMessage(asks_about=b"f" * 900),
        CrashNoticesMessage(told_about=b"x", run=1),
    ]
    datagrams = [message.SerializeToString() for message in messages]
    return datagrams + [rng.randbytes(rng.randrange(80)) for _ in range(40)]


# Guards against a datagram of another process that fails a task of the node, or its loop.
async def test_no_datagram_fails_a_node():
    rng = random.Random(40)
    async with two_workers(FakeWorker(FakeResponse()), FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        for repetition in range(2):
            for payload in odd_datagrams(rng):
                node.node.notices.datagram_received(payload, ("127.0.0.1", 9))
            await asyncio.sleep(0.2)
            reply = await platform.request_turn(node, f"r{repetition}", path=SAFE)
            assert reply.status == 200


HEADS = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp\r\nContent-Length: 4\r\n\r\ndone",
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
)


# Guards against a head that is cut short and taken for a complete one: callers got 200 with a short
# body (MIXED).
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("head", HEADS)
async def test_a_response_that_is_cut_at_any_byte_is_not_taken_for_a_whole_one(head, reset):
    worker = FakeWorker(FakeResponse())
    async with two_workers(worker, FakeWorker(FakeResponse())) as platform:
        (node,) = platform.nodes
        for end in range(1, len(head) - 1, 3):
            request_id = f"r{end}"
            raw = (head % request_id.encode())[:end]
            worker.responses = [FakeResponse(extra_before=raw, drop=True, reset=reset)]
            reply = await platform.request(node, "/confirm/", request_id, body=request_id.encode())
            assert reply.status == 502, (end, reply)
