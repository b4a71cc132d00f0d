"""The platform's documents, translated into the product's configuration and workers."""

import json
from typing import Any

from foxwinch.core.routing.configuration import (
    CallerBounds,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.platform.names import CONFIGURATION_KEY, STATE_DRAINING
from foxwinch.records.ports import StoredRow

ATTEMPTS_DEFAULT = 3
"""Where a route does not tell."""
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)
"""What reading a document of another shape raises."""
log = EventLog("translation")


def configuration_of(row: StoredRow) -> RoutingConfiguration | None:
    """Read the operator's configuration; None for another row or an unreadable one."""
    if row.row.key != CONFIGURATION_KEY or row.value is None:
        return None
    try:
        return _configuration(json.loads(row.value))
    except UNREADABLE as error:
        log.error("configuration_unreadable", version=row.version, error=type(error).__name__)
        return None


def worker_of(row: StoredRow) -> Worker | None:
    """Read a worker's entry; None for an unreadable one."""
    if row.value is None:
        return None
    try:
        entry = json.loads(row.value)
        return Worker(
            worker_id=row.row.key,
            service=entry["service"],
            address=entry["address"],
            zone=entry.get("zone", ""),
            slots=int(entry.get("slots", 1)),
            draining=entry.get("state") == STATE_DRAINING,
            cold_seconds=float(entry.get("cold_left_ms", 0)) / 1e3,
        )
    except UNREADABLE as error:
        log.error("worker_unreadable", worker=row.row.key, error=type(error).__name__)
        return None


def _configuration(document: dict[str, Any]) -> RoutingConfiguration:
    limits = document.get("limits") or {}
    bounds = CallerBounds()
    bounds = CallerBounds(
        header_bytes=int(limits.get("max_header_bytes", bounds.header_bytes)),
        body_bytes=int(limits.get("max_body_bytes", bounds.body_bytes)),
        header_seconds=_seconds(limits.get("header_timeout_ms"), bounds.header_seconds),
        idle_seconds=_seconds(limits.get("idle_timeout_ms"), bounds.idle_seconds),
    )
    services = [_service(entry) for entry in document.get("services", ())]
    return RoutingConfiguration(
        version=int(document["version"]),
        routes=tuple(_route(entry) for entry in document.get("routes", ())),
        services={service.name: service for service in services},
        bounds=bounds,
    )


def _route(entry: dict[str, Any]) -> Route:
    shares = entry.get("backends")
    if shares:
        backends = tuple(
            WeightedService(share["service"], float(share.get("weight", 1))) for share in shares
        )
    else:
        backends = (WeightedService(entry["service"], 1.0),)
    return Route(
        name=entry["name"],
        host=entry["host"],
        path_prefix=entry["path_prefix"],
        kind=RouteKind(entry["type"]),
        timeout_seconds=_seconds(entry.get("timeout_ms"), 30.0),
        target_seconds=_seconds(entry.get("target_ms"), 1.0),
        attempts=int(entry.get("attempts") or ATTEMPTS_DEFAULT),
        priority=int(entry.get("priority") or 0),
        backends=backends,
        resumable=bool(entry.get("resumable")),
        retained=bool(entry.get("retain")),
        retain_seconds=float(entry.get("retain_s") or 0),
        event_gap_seconds=_seconds(entry.get("gap_aim_ms"), 0.0),
    )


def _service(entry: dict[str, Any]) -> Service:
    engine = entry.get("engine") or {}
    return Service(
        name=entry["name"],
        health_path=entry.get("health_path") or "/",
        connections_maximum=int(entry.get("max_conns") or 0),
        tokens_per_event=int(engine.get("chunk_tokens") or 1),
        slots=int(engine.get("slots") or 1),
    )


def _seconds(milliseconds: Any, otherwise: float) -> float:
    return float(milliseconds) / 1e3 if milliseconds else otherwise
