"""Tests of routes, the worker directory, load, selection, shares, urgency and event framing."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxwinch.core.routing.affinity import preferred_worker
from foxwinch.core.routing.configuration import (
    Route,
    RouteKind,
    RoutingConfiguration,
    WeightedService,
)
from foxwinch.core.routing.directory import (
    LAST_RESORT_SECONDS,
    RETURN_SECONDS,
    Worker,
    WorkerDirectory,
    last_resort_after_outage,
    last_resort_from,
)
from foxwinch.core.routing.load import (
    MAX_FAILURE_SECONDS,
    MAX_LOADS,
    SHED_SECONDS,
    LoadTable,
)
from foxwinch.core.routing.selection import Wish, choose, cost_of
from foxwinch.core.routing.shares import ServiceShares
from foxwinch.core.routing.urgency import LEAST_URGENT, MOST_URGENT, urgency_of
from foxwinch.core.streams import EventFramer


def route(name="r", prefix="/a/", kind=RouteKind.SAFE, backends=(("s", 1.0),), **more):
    weighted = tuple(WeightedService(service, weight) for service, weight in backends)
    return Route(name, "h", prefix, kind, 3.0, 0.2, 3, 0, weighted, **more)


def worker(number, service="s", zone="z", address=None, **more):
    return Worker(f"w{number}", service, address or f"10.0.0.{number}:80", zone, 4, **more)


def test_the_longest_prefix_of_the_host_is_matched():
    routes = (route("short", "/a/"), route("long", "/a/b/"))
    configuration = RoutingConfiguration(1, routes, {})
    assert configuration.match("h", "/a/b/c").name == "long"
    assert configuration.match("h", "/a/c").name == "short"
    assert configuration.match("h", "/b/") is None
    assert configuration.match("other", "/a/") is None


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_what_may_run_again(kind, resumable, repeatable):
    assert route(kind=kind, resumable=resumable).repeatable is repeatable


def test_an_older_list_changes_nothing():
    directory = WorkerDirectory()
    directory.replace_all([(worker(1), 5)], 9, last_resort_from(0.0))
    assert not directory.replace_all([], 8, last_resort_from(1.0))
    directory.put(worker(1, draining=True), 4, last_resort_from(1.0))
    assert [found.worker_id for found in directory.serving("s", 1.0)] == ["w1"]


def test_a_leaving_worker_is_a_last_resort_for_a_while():
    directory = WorkerDirectory()
    directory.put(worker(1), 1, last_resort_from(0.0))
    directory.put(worker(2), 2, last_resort_from(0.0))
    directory.put(worker(1, draining=True), 3, last_resort_from(10.0))
    assert [found.worker_id for found in directory.serving("s", 10.1)] == ["w2"]
    directory.remove("w2", 4, last_resort_from(10.2))
    assert {found.worker_id for found in directory.serving("s", 10.3)} == {"w1", "w2"}
    assert [found.worker_id for found in directory.serving("s", 11.1)] == ["w2"]
    assert directory.serving("s", 10.2 + LAST_RESORT_SECONDS) == []


# Guards against sending work to a worker whose drain was noticed late, after a gap in the watch.
def test_a_drain_that_may_be_old_leaves_less_time_as_a_last_resort():
    directory = WorkerDirectory()
    directory.put(worker(1), 1, last_resort_from(0.0))
    directory.put(worker(1, draining=True), 2, last_resort_from(10.0))
    assert directory.serving("s", 10.9) != []
    assert directory.serving("s", 11.1) == []


def test_workers_whose_entries_lapsed_in_an_outage_are_a_last_resort_until_they_are_back():
    directory = WorkerDirectory()
    directory.put(worker(1), 1, last_resort_from(0.0))
    directory.put(worker(2), 1, last_resort_from(0.0))
    after = last_resort_after_outage(since=10.0, now=20.0)
    directory.replace_all([(worker(2, draining=True), 2)], 2, after)
    assert [found.worker_id for found in directory.serving("s", 20.1)] == ["w1"]
    assert directory.serving("s", 20.0 + RETURN_SECONDS) == []
    directory.put(worker(1), 3, last_resort_from(21.0))
    assert [found.worker_id for found in directory.serving("s", 30.0)] == ["w1"]


def test_a_reused_address_belongs_to_the_new_worker_alone():
    directory = WorkerDirectory()
    directory.put(worker(1, address="10.0.0.9:80"), 1, last_resort_from(0.0))
    directory.put(worker(2, service="other", address="10.0.0.9:80"), 2, last_resort_from(0.0))
    assert directory.serving("s", 0.0) == []
    assert [found.worker_id for found in directory.serving("other", 0.0)] == ["w2"]


def test_a_service_that_is_not_in_force_claims_no_address():
    directory = WorkerDirectory()
    directory.put(worker(1, address="10.0.0.9:80"), 1, last_resort_from(0.0))
    directory.put(worker(2, service="other", address="10.0.0.9:80"), 2, last_resort_from(0.0))
    directory.name_services(["s"])
    assert [found.worker_id for found in directory.serving("s", 0.0)] == ["w1"]
    directory.name_services(["s", "other"])
    assert directory.serving("s", 0.0) == []


def test_a_refused_worker_is_not_even_a_last_resort():
    directory = WorkerDirectory()
    directory.put(worker(1), 1, last_resort_from(0.0))
    directory.put(worker(2, draining=True), 2, last_resort_from(0.0))
    directory.refuse("w1", 3)
    directory.refuse("w2", 4)
    assert directory.serving("s", 0.1) == []


# Guards against sending work to a worker that drained for so long that it was evicted, then read
# again from the list as if it had just started to drain.
def test_a_worker_that_drains_for_long_is_no_last_resort_when_the_list_is_read_anew():
    directory = WorkerDirectory()
    directory.put(worker(1, draining=True), 1, last_resort_from(0.0))
    directory.forget_gone(now=100.0, after_seconds=30.0)
    directory.replace_all([(worker(1, draining=True), 1)], 2, last_resort_from(100.0))
    assert directory.serving("s", 100.0) == []


def test_a_worker_that_comes_back_serves_again():
    directory = WorkerDirectory()
    directory.put(worker(1), 1, last_resort_from(0.0))
    directory.remove("w1", 2, last_resort_from(1.0))
    directory.put(worker(1), 3, last_resort_from(5.0))
    assert [found.worker_id for found in directory.serving("s", 9.0)] == ["w1"]


# Guards against carrying over failures, in-flight calls, drains and cache affinity from an earlier
# incarnation of a worker.
def test_a_worker_that_starts_again_under_its_id_begins_anew():
    former, reborn = worker(1, started_ms=1), worker(1, started_ms=2)
    directory, loads = WorkerDirectory(), LoadTable()
    directory.put(replace(former, draining=True), 1, last_resort_from(0.0))
    directory.put(reborn, 2, last_resort_from(0.5))
    assert directory.serving("s", 9.0) == [reborn]
    loads.began(former.incarnation)
    loads.failed(former.incarnation, 0.0)
    wish = Wish("z", last_worker=former.incarnation)
    assert cost_of(reborn, loads, wish, 0.1) == 0.0
    loads.ended(former.incarnation)
    assert loads.of(reborn.incarnation).in_flight == 0
    directory.put(replace(reborn, draining=True), 3, last_resort_from(20.0))
    assert directory.serving("s", 20.5) == [replace(reborn, draining=True)]


def test_failures_in_a_row_are_avoided_longer_up_to_a_bound():
    loads = LoadTable()
    waits = []
    for _ in range(6):
        loads.failed("w1", 0.0)
        waits.append(loads.of("w1").avoid_until)
    assert waits == sorted(waits)
    assert waits[-1] == MAX_FAILURE_SECONDS
    loads.answered("w1")
    loads.failed("w2", 0.0)
    assert loads.of("w1").failures == 0


def test_workers_that_come_and_go_are_forgotten_but_for_calls_under_way():
    loads = LoadTable()
    loads.began("busy")
    for number in range(MAX_LOADS):
        loads.of(f"gone{number}")
    assert loads.of("busy").in_flight == 1
    loads.ended("busy")
    assert loads.of("busy").in_flight == 0


def test_the_least_loaded_worker_of_the_own_zone_is_chosen():
    loads = LoadTable()
    workers = [worker(1), worker(2), worker(3, zone="far")]
    loads.began("w1")
    assert choose(workers, loads, Wish("z"), 0.0, 0.0).worker.worker_id == "w2"
    loads.began("w2")
    assert choose(workers, loads, Wish("z"), 0.0, 0.0).worker.worker_id == "w3"


def test_the_lines_last_worker_is_preferred_until_it_is_busy():
    loads = LoadTable()
    workers = [worker(1), worker(2)]
    wish = Wish("z", last_worker="w1")
    loads.began("w1")
    assert choose(workers, loads, wish, 0.0, 0.0).worker.worker_id == "w1"
    for _ in range(3):
        loads.began("w1")
    assert choose(workers, loads, wish, 0.0, 0.0).worker.worker_id == "w2"


def test_avoided_workers_come_last_and_offered_ones_never():
    loads = LoadTable()
    workers = [worker(1), worker(2)]
    loads.shed("w1", 0.0)
    assert choose(workers, loads, Wish("z"), 0.0, 0.0).worker.worker_id == "w2"
    assert choose(workers, loads, Wish("z", excluded={"w2"}), 0.0, 0.0).worker.worker_id == "w1"
    assert choose(workers, loads, Wish("z", excluded={"w1", "w2"}), 0.0, 0.0) is None
    assert not loads.of("w1").avoided(SHED_SECONDS)


def zoned(count):
    return [worker(number, zone=f"z{number % 3}") for number in range(count)]


def test_nodes_that_know_nothing_of_a_program_choose_one_worker_for_it():
    workers = [worker(number) for number in range(7)]
    chosen = {}
    for program in map(str, range(200)):
        wish = Wish("z", program=program)
        choices = {choose(workers, LoadTable(), wish, 0.0, draw / 9).worker for draw in range(9)}
        (chosen[program],) = choices
    shares = [list(chosen.values()).count(each) / 200 for each in workers]
    assert max(shares) < 0.25


def test_only_the_programs_of_a_worker_that_goes_move():
    workers = zoned(7)
    for program in map(str, range(200)):
        before = preferred_worker(program, "z0", workers)
        after = preferred_worker(program, "z0", [each for each in workers if each is not before])
        assert after is not before
        for gone in workers:
            if gone is not before:
                left = [each for each in workers if each is not gone]
                assert preferred_worker(program, "z0", left) is before


def test_most_programs_stay_in_their_zone_and_others_spread():
    workers = zoned(6)
    zones = [preferred_worker(str(number), "z0", workers).zone for number in range(600)]
    assert zones.count("z0") > 400
    assert zones.count("z1") > 30
    assert zones.count("z2") > 30


def test_a_busy_preferred_worker_is_passed_over():
    workers = [worker(1), worker(2)]
    loads = LoadTable()
    preferred = preferred_worker("p", "z", workers)
    for _ in range(2):
        loads.began(preferred.worker_id)
    assert choose(workers, loads, Wish("z", program="p"), 0.0, 0.0).worker is not preferred


def test_a_worker_that_is_slow_to_begin_is_passed_over_for_a_while():
    workers = [worker(1), worker(2)]
    loads = LoadTable()
    preferred = preferred_worker("p", "z", workers)
    wish = Wish("z", program="p")
    loads.began_to_answer(preferred.worker_id, 0.03, now=0.0)
    assert choose(workers, loads, wish, 0.0, 0.0).worker is preferred
    for _ in range(4):
        loads.began_to_answer(preferred.worker_id, 0.5, now=0.0)
    assert choose(workers, loads, wish, 0.0, 0.0).worker is not preferred
    assert choose(workers, loads, wish, 5.0, 0.0).worker is preferred


@given(st.lists(st.integers(1, 9), min_size=2, max_size=5), st.integers(50, 200))
def test_shares_follow_weights_over_any_run(weights, requests):
    shares = ServiceShares()
    split = route(backends=tuple((f"s{number}", weight) for number, weight in enumerate(weights)))
    counts = [0] * len(weights)
    for _ in range(requests):
        counts[int(shares.order(split)[0][1:])] += 1
    for count, weight in zip(counts, weights, strict=True):
        assert abs(count - requests * weight / sum(weights)) <= len(weights)


def test_a_service_without_weight_gets_nothing():
    shares = ServiceShares()
    split = route(backends=(("s", 1.0), ("off", 0.0)))
    assert {tuple(shares.order(split)) for _ in range(9)} == {("s",)}


@given(st.integers(0, 50), st.integers(0, 50), st.booleans(), st.booleans())
def test_a_higher_rank_is_never_less_urgent(first, second, late, other_late):
    assert MOST_URGENT <= urgency_of(first, late) <= LEAST_URGENT
    if first < second:
        assert urgency_of(first, late) <= urgency_of(second, other_late)


@pytest.mark.parametrize("rank", [0, 1])
def test_a_late_program_comes_after_those_of_its_rank_that_are_in_time(rank):
    assert urgency_of(rank) < urgency_of(rank, late=True) < urgency_of(rank + 1)


@given(st.data())
def test_events_come_out_whole_however_the_bytes_are_cut(data):
    events = [f"id: {number}\ndata: t{number}\n\n".encode() for number in range(1, 6)]
    stream = b"".join(events)
    framer = EventFramer()
    found = []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        found += framer.feed(stream[:size])
        stream = stream[size:]
    assert [event.raw for event in found] == events
    assert [event.event_id for event in found] == [1, 2, 3, 4, 5]
    assert [event.data for event in found] == [b"t1", b"t2", b"t3", b"t4", b"t5"]
    assert not framer.pending


def test_a_cut_event_is_pending_and_not_given_out():
    framer = EventFramer()
    assert framer.feed(b"id: 1\ndata: whole\n\nid: 2\nda")[0].event_id == 1
    assert framer.pending


def test_an_event_of_several_data_lines_is_one_text():
    (event,) = EventFramer().feed(b"data: one\ndata: two\n\n")
    assert event.data == b"one\ntwo"
    assert event.event_id is None
