"""A node on the users' platform between stand-ins: what callers, workers and the store see."""

import asyncio
import json

import pytest

from fake_worker import Answer, FakeWorker, events, raw_answer
from foxwinch.core.records.budget import BudgetRecord
from foxwinch.emulator.record_store import Mood
from foxwinch.records.budgets import BUDGETS_TABLE
from foxwinch.records.turns import TURNS_TABLE
from platform_site import (
    RETAINED,
    SAFE,
    STREAM,
    UNSAFE,
    PlatformSite,
    configuration,
    routes,
    until,
)

STREAM_ANSWER = Answer(body=None, pieces=events(1, 3))


@pytest.fixture
async def site():
    async with PlatformSite([FakeWorker(Answer())]) as made:
        made.model.put("op", "config", configuration())
        yield made


def site_of(*workers):
    made = PlatformSite(list(workers))
    made.model.put("op", "config", configuration())
    return made


async def test_a_node_is_ready_once_it_knows_configuration_and_workers():
    async with PlatformSite([FakeWorker(Answer())]) as site:
        node = await site.start_node(wait=False)
        assert await site.ready(node) == 503
        refused = await site.ask(node, SAFE, "r1")
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        site.model.put("op", "config", configuration())
        await until(lambda: site.ready(node), 200)


async def test_a_safe_request_goes_along_unchanged(site):
    node = await site.start_node()
    reply = await site.ask(node, SAFE + "a%20b?x=%2F", "r1", body=b"in", X_Other="kept")
    assert (reply.status, reply.body) == (200, b"done")
    assert reply.headers["Response-Stamp"] == "stamp-r1"
    (got,) = site.workers[0].received
    assert (got.method, got.target, got.body) == ("POST", SAFE + "a%20b?x=%2F", b"in")
    assert got["Request-Id"] == "r1"
    assert got["X-Other"] == "kept"
    assert got["Expect-Instance"] == "w0"
    assert 0 < int(got["Deadline-Ms"]) <= 3000


async def test_a_safe_request_does_not_wait_for_a_silent_worker():
    async with site_of(FakeWorker(Answer(silent=True)), FakeWorker(Answer())) as site:
        node = await site.start_node()
        for number in range(4):
            reply = await site.ask(node, SAFE, f"r{number}", Deadline_Ms=2500)
            assert reply.status == 200
        assert len(site.workers[1].received) == 4
        assert len(site.workers[0].received) < 4


async def test_a_request_that_may_run_once_waits_for_its_worker():
    async with site_of(FakeWorker(Answer(silent=True))) as site:
        node = await site.start_node()
        reply = await site.ask(node, UNSAFE, "r1", Deadline_Ms=900)
        assert reply.status == 504


async def test_a_program_that_is_late_yields_to_those_in_time(site):
    site.workers[0].answers = [STREAM_ANSWER, STREAM_ANSWER, Answer()]
    node = await site.start_node()
    await site.turn(node, "r1", Finish_Ms=500)
    await site.turn(node, "r2", Finish_Ms=-300)
    await site.ask(node, SAFE, "r3", Program="p1", Session="l1", Finish_Ms=0)
    in_time, late, tool = (int(got["Urgency"]) for got in site.workers[0].received)
    assert in_time < late == tool


async def test_a_call_tells_its_worker_how_urgent_it_is(site):
    ranked = [{**route, "priority": rank} for rank, route in enumerate(routes())]
    site.model.put("op", "config", configuration(version=2, routes=ranked))
    node = await site.start_node()
    for number, path in enumerate((STREAM, RETAINED, SAFE, UNSAFE)):
        await site.ask(node, path, f"r{number}")
    urgencies = [int(got["Urgency"]) for got in site.workers[0].received]
    assert urgencies == sorted(set(urgencies))


async def test_an_unknown_route_is_not_found(site):
    node = await site.start_node()
    assert (await site.ask(node, "/elsewhere/", "r1")).status == 404


async def test_a_body_over_the_limit_is_refused(site):
    node = await site.start_node()
    assert (await site.ask(node, SAFE, "r1", body=b"x" * 200_001)).status == 413
    assert site.workers[0].received == []


async def test_a_worker_that_sheds_is_passed_over():
    shedding = FakeWorker(Answer(status=503, headers={"Not-Run": "1"}, signed=False))
    async with site_of(shedding, shedding_twin := FakeWorker(Answer())) as site:
        node = await site.start_node()
        for number in range(6):
            assert (await site.ask(node, UNSAFE, f"r{number}")).status == 200
        assert len(shedding_twin.received) == 6


async def test_a_full_service_is_told_with_the_time_to_come_back():
    async with site_of(
        FakeWorker(Answer(status=503, headers={"Not-Run": "1"}, signed=False))
    ) as site:
        node = await site.start_node()
        refused = await site.ask(node, UNSAFE, "r1")
        assert refused.status == 503
        assert "Retry-After" in refused.headers


@pytest.mark.parametrize("answer", [Answer(drop=True), Answer(unframed=True, reset=True)])
async def test_an_unsafe_request_whose_answer_is_lost_is_not_run_again(answer):
    async with site_of(FakeWorker(answer), FakeWorker(answer)) as site:
        node = await site.start_node()
        assert (await site.ask(node, UNSAFE, "r1")).status == 502
        assert sum(len(worker.received) for worker in site.workers) == 1


async def test_a_safe_request_whose_answer_is_lost_goes_to_another_worker():
    async with site_of(
        FakeWorker(Answer(drop=True), Answer()), FakeWorker(Answer(drop=True), Answer())
    ) as site:
        node = await site.start_node()
        assert (await site.ask(node, SAFE, "r1")).status in (200, 502)
        assert (await site.ask(node, SAFE, "r2")).status == 200


@pytest.mark.parametrize("behind", [1, 2])
async def test_surplus_answers_never_reach_a_caller(behind):
    surplus = b"".join(raw_answer(f"other{number}") for number in range(behind))
    worker = FakeWorker(Answer(surplus=surplus), Answer(surplus_first=surplus), Answer())
    async with site_of(worker) as site:
        node = await site.start_node()
        for number in range(3):
            reply = await site.ask(node, UNSAFE, f"r{number}")
            assert (reply.status, reply.body) == (200, b"done")
            assert reply.headers["Response-Stamp"] == f"stamp-r{number}"


async def test_a_surplus_answer_behind_the_own_one_is_not_taken_for_it():
    answer = Answer(surplus_first=raw_answer("earlier"), surplus=raw_answer("later"))
    async with site_of(FakeWorker(answer)) as site:
        node = await site.start_node()
        for number in range(4):
            reply = await site.ask(node, SAFE, f"r{number}")
            assert (reply.body, reply.headers["Request-Id"]) == (b"done", f"r{number}")


async def test_an_answer_without_signature_is_not_passed_on_as_a_success():
    async with site_of(FakeWorker(Answer(signed=False))) as site:
        node = await site.start_node()
        assert (await site.ask(node, UNSAFE, "r1")).status == 502


async def test_a_stream_is_passed_on_whole_and_its_tokens_settled():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()
        reply = await site.turn(node, "r1")
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body == b"".join(events(1, 3))

        async def spent():
            records = site.model.rows_of(BUDGETS_TABLE).values()
            return [BudgetRecord.decode(value).spent for value in records]

        await until(spent, [75])


async def test_a_cut_stream_goes_on_at_another_worker_after_the_last_whole_event():
    whole = events(1, 5)
    cut = Answer(body=None, pieces=[whole[0], whole[1], whole[2][:7]], cut=True)
    rest = Answer(body=None, pieces=whole[2:])
    workers = [FakeWorker(), FakeWorker()]
    workers[0].answers = workers[1].answers = [cut, rest]
    async with site_of(*workers) as site:
        node = await site.start_node()
        reply = await site.turn(node, "r1")
        assert (reply.whole, reply.body) == (True, b"".join(whole))
        assert reply.headers["Response-Stamp"] == "stamp-r1"
        ((first,), (second,)) = sorted(
            (worker.received for worker in workers), key=lambda got: got[0]["Last-Event-Id"] or ""
        )
        assert first["Last-Event-Id"] is None
        assert second["Last-Event-Id"] == "2"


async def test_a_stream_that_may_not_be_resumed_breaks_off_visibly():
    cut = Answer(body=None, pieces=events(1, 2), cut=True)
    async with site_of(FakeWorker(cut), FakeWorker(cut)) as site:
        node = await site.start_node()
        reply = await site.turn(node, "r1", path=RETAINED)
        assert not reply.whole
        assert sum(len(worker.received) for worker in site.workers) == 1
        assert site.model.rows_of(TURNS_TABLE) == {}


async def test_a_turn_goes_on_from_the_turns_before_at_any_node():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        first, second = await site.start_node(), await site.start_node()
        await site.turn(first, "t1", path=RETAINED, body=b"one")
        await site.turn(second, "t2", path=RETAINED, body=b"two", Previous_Turn="t1")
        # Another program may go on from an old turn.
        await site.turn(first, "t3", path=RETAINED, body=b"three", Previous_Turn="t2", Program="p2")
        output = b"token1\ntoken2\ntoken3\n"
        bodies = [got.body for got in site.workers[0].received]
        assert bodies == [
            b"one",
            b"one" + output + b"two",
            b"one" + output + b"two" + output + b"three",
        ]


async def test_a_resumed_turn_is_stored_whole():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()
        resumed = await site.turn(node, "t1", path=RETAINED, body=b"one", Last_Event_Id=2)
        assert resumed.body == events(3, 3)[0]
        await site.turn(node, "t2", path=RETAINED, body=b"two", Previous_Turn="t1")
        first, second = site.workers[0].received
        assert first["Last-Event-Id"] is None
        assert second.body == b"one" + b"token1\ntoken2\ntoken3\n" + b"two"


async def test_a_resumed_turn_that_is_not_kept_goes_on_at_the_worker():
    async with site_of(FakeWorker(Answer(body=None, pieces=events(3, 4)))) as site:
        node = await site.start_node()
        resumed = await site.turn(node, "t1", Last_Event_Id=2)
        assert resumed.body == b"".join(events(3, 4))
        assert site.workers[0].received[0]["Last-Event-Id"] == "2"


async def test_a_large_turn_is_kept_whole():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        first, second = await site.start_node(), await site.start_node()
        body = bytes(range(256)) * 700
        assert (await site.turn(first, "t1", path=RETAINED, body=body)).whole
        await site.turn(second, "t2", path=RETAINED, body=b"!", Previous_Turn="t1")
        assert site.workers[0].received[1].body.startswith(body)
        assert len(site.model.rows_of(TURNS_TABLE)) > 2


async def test_a_turn_that_never_was_is_not_found_and_never_runs():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()
        reply = await site.turn(node, "t2", path=RETAINED, Previous_Turn="nothing")
        assert reply.status == 404
        assert site.workers[0].received == []


async def test_a_stale_read_is_no_proof_that_a_turn_never_was():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        first, second = await site.start_node(), await site.start_node()
        site.model.hold_reads()
        await site.turn(first, "t1", path=RETAINED)
        reply = await site.turn(second, "t2", path=RETAINED, Previous_Turn="t1")
        assert reply.status == 503


@pytest.mark.parametrize("mood", [Mood.BUSY, Mood.LIMITED, Mood.SILENT])
async def test_without_the_store_a_history_is_refused_and_not_denied(mood):
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        first, second = await site.start_node(), await site.start_node()
        await site.turn(first, "t1", path=RETAINED)
        site.model.moods.mood = mood
        reply = await site.turn(second, "t2", path=RETAINED, Previous_Turn="t1")
        assert reply.status == 503
        assert "Retry-After" in reply.headers


async def test_the_end_of_a_turn_waits_for_its_record():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()
        await site.turn(node, "t1", path=RETAINED)
        site.model.moods.mood = Mood.BUSY
        asyncio.get_running_loop().call_later(0.5, setattr, site.model.moods, "mood", Mood.WELL)
        reply = await site.turn(node, "t2", path=RETAINED, Previous_Turn="t1")
        assert reply.whole
        assert any(row.key == "t2" for row in site.model.rows_of(TURNS_TABLE))


async def test_a_spent_budget_is_told_and_the_turn_does_not_run():
    async with site_of(FakeWorker(STREAM_ANSWER)) as site:
        node = await site.start_node()
        assert (await site.turn(node, "r1", budget=120, most=75)).status == 200
        assert (await site.turn(node, "r2", budget=120, most=75)).status == 402
        assert len(site.workers[0].received) == 1


async def test_a_caller_that_leaves_stops_the_worker():
    slow = Answer(body=None, pieces=events(1, 50), pause_seconds=0.1)
    async with site_of(FakeWorker(slow)) as site:
        node = await site.start_node()
        asking = asyncio.ensure_future(site.turn(node, "r1"))
        worker = site.workers[0]

        async def received():
            return len(worker.received)

        await until(received, 1)
        asking.cancel()

        async def left():
            return worker.left

        await until(left, 1)


async def test_a_worker_that_drains_gets_no_new_work():
    async with site_of(FakeWorker(Answer()), FakeWorker(Answer())) as site:
        node = await site.start_node()
        site.list_worker(0, state="draining")
        site.model.put("op", "config", configuration(version=2))

        async def version():
            return node.node.routing.configuration.version

        await until(version, 2)
        await asyncio.sleep(0.1)
        before = len(site.workers[0].received)
        for number in range(6):
            assert (await site.ask(node, SAFE, f"r{number}")).status == 200
        assert len(site.workers[0].received) == before


async def test_a_configuration_never_goes_back():
    async with site_of(FakeWorker(Answer())) as site:
        node = await site.start_node()
        without = [route for route in routes() if route["name"] != "safe"]
        site.model.put("op", "config", configuration(version=9, routes=without))

        async def status():
            return (await site.ask(node, SAFE, "r")).status

        await until(status, 404)
        site.model.put("op", "config", configuration(version=8))
        await asyncio.sleep(0.2)
        assert await status() == 404


async def test_a_lost_history_is_made_good_by_a_whole_read():
    async with site_of(FakeWorker(Answer())) as site:
        node = await site.start_node()
        site.model.put("op", "config", configuration(version=5))
        site.model.forget_history()

        async def version():
            return node.node.routing.configuration.version

        await until(version, 5)


async def test_services_share_a_route_by_their_weights():
    async with site_of(FakeWorker(Answer()), FakeWorker(Answer())) as site:
        site.list_worker(1, service="other")
        weights = [{"service": "s", "weight": 90}, {"service": "other", "weight": 10}]
        (safe,) = (route for route in routes() if route["name"] == "safe")
        changed = {key: value for key, value in safe.items() if key != "service"}
        site.model.put(
            "op",
            "config",
            configuration(
                version=2,
                routes=[{**changed, "backends": weights}],
                services=[{"name": "s"}, {"name": "other"}],
            ),
        )
        node = await site.start_node()
        for number in range(40):
            await site.ask(node, SAFE, f"r{number}")
        assert [len(worker.received) for worker in site.workers] == [36, 4]


async def test_a_stopping_node_is_not_ready_and_finishes_what_runs():
    slow = Answer(body=None, pieces=events(1, 10), pause_seconds=0.1)
    async with site_of(FakeWorker(slow)) as site:
        node = await site.start_node()
        asking = asyncio.ensure_future(site.turn(node, "r1"))

        async def received():
            return len(site.workers[0].received)

        await until(received, 1)
        stopping = asyncio.ensure_future(node.node.stop(node.stop_listening))
        await until(lambda: site.ready(node), 503)
        still = await site.ask(node, UNSAFE, "r2")
        assert still.headers["Connection"].lower() == "close"
        assert (await asking).whole
        await stopping


@pytest.mark.parametrize("mood", [Mood.BUSY, Mood.SILENT])
async def test_a_node_that_the_store_does_not_answer_sends_its_callers_elsewhere(site, mood):
    node = await site.start_node()
    site.model.moods.mood = mood
    await until(lambda: site.ready(node), 503)
    reply = await site.ask(node, SAFE, "r1")
    assert reply.status == 200
    assert reply.headers["Connection"].lower() == "close"
    site.model.moods.mood = Mood.WELL
    await until(lambda: site.ready(node), 200)


async def test_a_node_stays_ready_while_a_part_of_the_store_is_down(site):
    node = await site.start_node(notice_ms=30_000)
    site.model.moods.partitions = frozenset(f"{number:02x}" for number in range(256))
    site.model.moods.mood = Mood.BUSY
    for number in range(3):
        assert (await site.turn(node, f"r{number}")).status == 503
        assert await site.ready(node) == 200


async def test_metrics_tell_what_was_served(site):
    node = await site.start_node()
    await site.ask(node, SAFE, "r1")
    async with site._session.get(f"http://{node.address_of('metrics')}/metrics") as response:
        text = await response.text()
    assert 'foxwinch_requests_total{kind="safe",outcome="answered"} 1.0' in text


async def test_a_refusal_names_its_reason_and_request(site):
    node = await site.start_node()
    reply = await site.ask(node, "/elsewhere/", "r7")
    assert json.loads(reply.body) == {"error": "no_route"}
    assert reply.headers["Request-Id"] == "r7"


async def read_answer(reader):
    """Read one answer with a length from a kept connection; returns status and headers."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    await reader.readexactly(int(headers["Content-Length"]))
    return int(first.split(" ")[1]), headers


@pytest.mark.parametrize(
    "worse",
    [
        Answer(drop=True),
        Answer(reset=True, unframed=True),
        Answer(signed=False),
        Answer(status=503, headers={"Not-Run": "1"}),
        Answer(status=500),
        Answer(surplus=raw_answer("r0")),
        Answer(headers={"Connection": "close"}),
    ],
)
@pytest.mark.parametrize("path", [SAFE, UNSAFE, STREAM])
async def test_a_kept_connection_gets_an_answer_to_each_request_whatever_the_worker_does(
    worse, path
):
    async with site_of(FakeWorker(worse, worse, worse, Answer())) as site:
        node = await site.start_node()
        host, _, port = node.address_of("callers").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(4):
            lines = f"POST {path} HTTP/1.1", "Host: seats.example", f"Request-Id: r{number}"
            head = "\r\n".join((*lines, "Deadline-Ms: 3000", "Content-Length: 2"))
            writer.write(f"{head}\r\n\r\nin".encode())
            status, headers = await read_answer(reader)
            assert headers["Request-Id"] == f"r{number}"
            assert status in (200, 500, 502, 503)
            assert headers.get("Connection", "keep-alive").lower() != "close"
        writer.close()


# Guards against work kept away from, or led to, a worker by what it was before it started again.
async def test_a_worker_that_starts_again_under_its_id_serves_at_once():
    async with site_of(FakeWorker(Answer(drop=True), Answer())) as site:
        node = await site.start_node()
        site.list_worker(0, born=1, state="draining")
        await until(lambda: site.ready(node), 503)
        site.list_worker(0, born=2)

        async def sound():
            return [worker.incarnation for worker in node.node.routing.directory.all_workers()]

        await until(sound, ["w0/2"])
        assert (await site.ask(node, UNSAFE, "r2")).status == 502
        site.list_worker(0, born=3)
        await until(sound, ["w0/3"])
        assert (await site.ask(node, UNSAFE, "r3")).status == 200
        assert node.node.dispatcher.loads.get_load("w0/3").failures == 0
        assert node.node.dispatcher.loads.get_load("w0/2").failures == 1
