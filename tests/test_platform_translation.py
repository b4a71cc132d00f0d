"""The platform's documents become the product's configuration and workers."""

import json

import pytest

from foxwinch.core.routing.configuration import RequestLimits, RouteKind
from foxwinch.platform.translation import configuration_of, worker_of
from foxwinch.records.ports import RowKey, StoredRow
from platform_site import configuration, routes


def row(value, table="op", key="config"):
    return StoredRow(RowKey(table, "", key), value, 7)


def decoded(**changes):
    return configuration_of(row(configuration(**changes)))


def test_a_configuration_is_translated_whole():
    read = decoded(version=4)
    assert read.version == 4
    assert [route.name for route in read.routes] == ["stream", "kept", "safe", "unsafe"]
    kept = read.routes[1]
    assert (kept.kind, kept.retained, kept.retention_seconds) == (RouteKind.STREAM, True, 60.0)
    assert (kept.timeout_seconds, kept.latency_target_seconds, kept.event_gap_seconds) == (
        3.0,
        0.2,
        0.3,
    )
    assert read.services["s"].tokens_per_event == 25
    assert read.request_limits.body_bytes == 200_000
    assert read.request_limits.idle_seconds == RequestLimits().idle_seconds


WRONG_ROUTES = {
    "no service": {"service": None},
    "time as text": {"timeout_ms": "soon"},
    "no host": {"host": None},
    "weights as a text": {"backends": "all"},
}


# Guards against a change that was not in force because one of its entries could not be read.
@pytest.mark.parametrize("wrong", WRONG_ROUTES.values(), ids=WRONG_ROUTES)
def test_a_route_that_is_wrong_hides_no_other(wrong):
    first, *others = routes()
    read = decoded(version=5, routes=[{**first, **wrong}, *others, "no route"])
    assert read.version == 5
    assert [route.name for route in read.routes] == ["kept", "safe", "unsafe"]


def test_a_service_or_limits_that_are_wrong_hide_nothing_else():
    read = decoded(services=[{"name": 7}, {"name": "s"}], limits=["none"])
    assert list(read.services) == ["s"]
    assert read.request_limits == RequestLimits()
    assert len(read.routes) == len(routes())


def test_a_route_of_a_kind_that_is_not_known_runs_at_most_once():
    first, *others = routes()
    read = decoded(routes=[{**first, "type": "call", "resumable": True}, *others])
    assert read.routes[0].kind is RouteKind.UNSAFE
    assert not read.routes[0].repeatable


@pytest.mark.parametrize("value", [None, b"", b"[]", b"{}", b'{"version": "new"}', b"\xff"])
def test_what_is_no_configuration_is_refused(value):
    assert configuration_of(row(value)) is None


def test_other_rows_are_no_configuration():
    assert configuration_of(row(configuration(), key="other")) is None


def test_an_entry_tells_a_worker():
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 12,
        "state": "draining",
        "cold_left_ms": 1500,
        "stage": "both",
        "seq": 4,
        "born": 1_790_000_000_000,
    }
    worker = worker_of(row(json.dumps(entry).encode(), "servers", "i-1"))
    assert (worker.worker_id, worker.slots, worker.draining) == ("i-1", 12, True)
    assert worker.warmup_seconds == 1.5
    assert worker.incarnation == "i-1/1790000000000"
    del entry["born"]
    assert worker_of(row(json.dumps(entry).encode(), "servers", "i-1")).incarnation == "i-1"
