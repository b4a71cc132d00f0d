"""Translation of the platform's documents into configuration and workers."""

import json

import pytest

from fake_platform import configuration, routes
from foxwinch.core.routing.configuration import RequestLimits, RouteKind
from foxwinch.platform.translation import decode_configuration_row, decode_worker_row
from foxwinch.records.ports import RowKey, StoredRow


def row(value, table="op", key="config"):
    return StoredRow(RowKey(table, "", key), value, 7)


def decode(**changes):
    return decode_configuration_row(row(configuration(**changes)))


def test_a_configuration_is_translated_completely():
    decoded = decode(version=4)
    assert decoded.version == 4
    assert [route.name for route in decoded.routes] == ["stream", "kept", "safe", "unsafe"]
    kept = decoded.routes[1]
    assert (kept.kind, kept.retained, kept.retain_seconds) == (RouteKind.STREAM, True, 60.0)
    assert (kept.timeout_seconds, kept.target_seconds, kept.event_gap_seconds) == (3.0, 0.2, 0.3)
    assert decoded.services["s"].tokens_per_event == 25
    assert decoded.bounds.body_bytes == 200_000
    assert decoded.bounds.idle_seconds == RequestLimits().idle_seconds


WRONG_ROUTES = {
    "no service": {"service": None},
    "time as text": {"timeout_ms": "soon"},
    "no host": {"host": None},
    "weights as a text": {"backends": "all"},
}


# Guards against a configuration change that has no effect because one of its entries is malformed.
@pytest.mark.parametrize("wrong", WRONG_ROUTES.values(), ids=WRONG_ROUTES)
def test_an_invalid_route_does_not_affect_other_routes(wrong):
    first, *others = routes()
    decoded = decode(version=5, routes=[{**first, **wrong}, *others, "no route"])
    assert decoded.version == 5
    assert [route.name for route in decoded.routes] == ["kept", "safe", "unsafe"]


def test_invalid_services_or_limits_do_not_affect_other_entries():
    decoded = decode(services=[{"name": 7}, {"name": "s"}], limits=["none"])
    assert list(decoded.services) == ["s"]
    assert decoded.bounds == RequestLimits()
    assert len(decoded.routes) == len(routes())


def test_requests_of_an_unknown_route_kind_run_at_most_once():
    first, *others = routes()
    decoded = decode(routes=[{**first, "type": "call", "resumable": True}, *others])
    assert decoded.routes[0].kind is RouteKind.UNSAFE
    assert not decoded.routes[0].repeatable


@pytest.mark.parametrize("value", [None, b"", b"[]", b"{}", b'{"version": "new"}', b"\xff"])
def test_a_malformed_configuration_is_rejected(value):
    assert decode_configuration_row(row(value)) is None


def test_other_rows_are_not_read_as_a_configuration():
    assert decode_configuration_row(row(configuration(), key="other")) is None


def test_a_worker_entry_is_decoded():
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
    worker = decode_worker_row(row(json.dumps(entry).encode(), "servers", "i-1"))
    assert (worker.worker_id, worker.slots, worker.draining) == ("i-1", 12, True)
    assert worker.warmup_seconds == 1.5
    assert worker.incarnation == "i-1/1790000000000"
    del entry["born"]
    assert decode_worker_row(row(json.dumps(entry).encode(), "servers", "i-1")).incarnation == "i-1"
