"""Translation of the platform's documents into routing configuration and workers."""

from collections.abc import Iterable
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from foxwinch.core.routing.configuration import (
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from foxwinch.core.routing.directory import Worker
from foxwinch.log import EventLog
from foxwinch.platform.documents import (
    BackendDocument,
    ConfigurationDocument,
    EngineDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    WorkerEntry,
    WorkerState,
)
from foxwinch.platform.names import CONFIGURATION_KEY
from foxwinch.records.ports import StoredRow

DEFAULT_ATTEMPTS = 3
"""Used if a route does not set it."""
DEFAULT_TIMEOUT_MS = 30_000.0
"""Used if a route does not set it; longer than any caller's deadline."""
DEFAULT_LATENCY_TARGET_MS = 1_000.0
"""Used if a route does not set it."""
MAX_PROBLEMS = 3
"""Maximum number of problems of one document in a log line."""
Document = TypeVar("Document", bound=BaseModel)
log = EventLog("translation")


def decode_configuration_row(row: StoredRow) -> RoutingConfiguration | None:
    """Decode the operator's configuration; None for another row or a malformed document."""
    if row.row.key != CONFIGURATION_KEY or row.value is None:
        return None
    try:
        return _configuration(ConfigurationDocument.model_validate_json(row.value))
    except ValidationError as error:
        log.error("configuration_unreadable", version=row.version, reason=_describe_problems(error))
        return None


def decode_worker_row(row: StoredRow) -> Worker | None:
    """Decode a worker's entry; None if it was removed or is malformed."""
    if row.value is None:
        return None
    try:
        entry = WorkerEntry.model_validate_json(row.value)
    except ValidationError as error:
        log.warning("worker_entry_refused", worker=row.row.key, reason=_describe_problems(error))
        return None
    return Worker(
        worker_id=row.row.key,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.state is WorkerState.DRAINING,
        warmup_seconds=entry.cold_ms / 1e3,
        started_ms=entry.started_ms,
        software_version=str(entry.software_version),
    )


def _describe_problems(error: ValidationError) -> str:
    """Describe the invalid fields without their values, which may be of any size."""
    problems = error.errors(include_url=False, include_input=False, include_context=False)
    descriptions = [
        f"{'.'.join(str(part) for part in problem['loc']) or 'document'}: {problem['type']}"
        for problem in problems[:MAX_PROBLEMS]
    ]
    return "; ".join(descriptions)


def _configuration(document: ConfigurationDocument) -> RoutingConfiguration:
    routes = _validate_entries(RouteDocument, document.routes, document.version)
    services = [
        _service(entry)
        for entry in _validate_entries(ServiceDocument, document.services, document.version)
    ]
    limits = _validate_entries(LimitsDocument, (document.limits or {},), document.version)
    return RoutingConfiguration(
        version=document.version,
        routes=tuple(_route(entry) for entry in routes),
        services={service.name: service for service in services},
        request_limits=_request_limits(limits[0] if limits else LimitsDocument()),
    )


def _validate_entries(
    kind: type[Document], entries: Iterable[object], version: int
) -> list[Document]:
    """Validate entries one by one, so that an invalid entry does not affect the others."""
    valid: list[Document] = []
    for number, entry in enumerate(entries):
        try:
            valid.append(kind.model_validate(entry))
        except ValidationError as error:
            log.error(
                "configuration_entry_refused",
                version=version,
                kind=kind.__name__,
                number=number,
                reason=_describe_problems(error),
            )
    return valid


def _request_limits(limits: LimitsDocument) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=limits.header_bytes or defaults.header_bytes,
        body_bytes=limits.body_bytes or defaults.body_bytes,
        header_seconds=(limits.header_ms or 1e3 * defaults.header_seconds) / 1e3,
        idle_seconds=(limits.idle_ms or 1e3 * defaults.idle_seconds) / 1e3,
    )


def _route(entry: RouteDocument) -> Route:
    return Route(
        name=entry.name,
        host=entry.host,
        path_prefix=entry.path_prefix,
        kind=entry.kind,
        timeout_seconds=(entry.timeout_ms or DEFAULT_TIMEOUT_MS) / 1e3,
        latency_target_seconds=(entry.target_ms or DEFAULT_LATENCY_TARGET_MS) / 1e3,
        max_workers=entry.workers_maximum or DEFAULT_ATTEMPTS,
        priority=entry.priority or 0,
        backends=_backends(entry),
        resumable=bool(entry.resumable),
        retained=bool(entry.retained),
        retention_seconds=entry.retain_seconds or 0.0,
        event_gap_seconds=(entry.event_gap_ms or 0.0) / 1e3,
    )


def _backends(entry: RouteDocument) -> tuple[WeightedService, ...]:
    backend_documents = entry.backends or ()
    if not backend_documents and entry.service is not None:
        backend_documents = (BackendDocument(service=entry.service),)
    return tuple(WeightedService(backend.service, backend.weight) for backend in backend_documents)


def _service(entry: ServiceDocument) -> Service:
    engine = entry.engine or EngineDocument()
    return Service(
        name=entry.name,
        health_path=entry.health_path or "/",
        max_connections=entry.connections_maximum or 0,
        tokens_per_event=engine.tokens_per_event or 1,
        slots=engine.slots or 1,
    )
