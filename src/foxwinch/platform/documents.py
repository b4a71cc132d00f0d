"""Pydantic models of the platform's documents, with foxwinch's field names.

A document with a missing field or a field of the wrong type is rejected as a whole; each route and
each service of the operator's configuration is a document of its own. Unknown fields are ignored.
"""

from enum import StrEnum
from typing import Annotated, Any, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from foxwinch.core.routing.configuration import RouteKind
from foxwinch.settings.addresses import IpAndPort

Milliseconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Name = Annotated[str, Field(min_length=1)]


def _coerce_kind(value: object) -> object:
    """Replace an unknown kind by `UNSAFE`, the most restrictive one."""
    return value if value in tuple(RouteKind) else RouteKind.UNSAFE


class _Document(BaseModel):
    """Base class of documents; field aliases are the platform's names."""

    model_config = ConfigDict(frozen=True, populate_by_name=True)


class WorkerState(StrEnum):
    """State that a worker reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(_Document):
    """A worker's entry in the worker list; the row key is the worker's id.

    Validation is strict, without type coercion, because other writers add entries to the table too.
    """

    model_config = ConfigDict(strict=True)

    service: Name
    address: IpAndPort
    zone: str
    software_version: str | int | Annotated[float, Field(allow_inf_nan=False)] = Field(
        alias="version"
    )
    slots: Annotated[int, Field(ge=1)]
    state: WorkerState
    cold_ms: Milliseconds = Field(alias="cold_left_ms")
    """Remaining warm-up time, during which the worker is slow."""
    entry_count: int = Field(alias="seq")
    """Number of entries that the worker has written since it started."""
    started_ms: int | None = Field(default=None, alias="born")
    """Unix start time; distinguishes restarts of a worker under the same id."""


class BackendDocument(_Document):
    """A service that receives a weighted share of a route's requests."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 1.0


class RouteDocument(_Document):
    """A route from a host and path prefix to one or more services."""

    name: Name
    host: Name
    path_prefix: str
    kind: Annotated[RouteKind, BeforeValidator(_coerce_kind)] = Field(alias="type")
    service: Name | None = None
    """The only service; None if `backends` lists several."""
    backends: tuple[BackendDocument, ...] | None = None
    timeout_ms: Milliseconds | None = None
    target_ms: Milliseconds | None = None
    event_gap_ms: Milliseconds | None = Field(default=None, alias="gap_aim_ms")
    workers_maximum: int | None = Field(default=None, alias="attempts")
    """Maximum number of workers that one request may be sent to."""
    priority: int | None = None
    resumable: bool | None = None
    retained: bool | None = Field(default=None, alias="retain")
    retain_seconds: Annotated[float, Field(ge=0)] | None = Field(default=None, alias="retain_s")

    @model_validator(mode="after")
    def _check_service(self) -> Self:
        if self.service is None and not self.backends:
            raise ValueError("route has neither service nor backends")
        return self


class EngineDocument(_Document):
    """Settings shared by the model workers of a service."""

    slots: int | None = None
    tokens_per_event: int | None = Field(default=None, alias="chunk_tokens")


class ServiceDocument(_Document):
    """A group of interchangeable workers."""

    name: Name
    health_path: str | None = None
    connections_maximum: int | None = Field(default=None, alias="max_conns")
    """Maximum number of connections that one worker accepts from all clients together."""
    engine: EngineDocument | None = None


class LimitsDocument(_Document):
    """Size limits and timeouts for callers' requests."""

    header_bytes: int | None = Field(default=None, alias="max_header_bytes")
    body_bytes: int | None = Field(default=None, alias="max_body_bytes")
    header_ms: Milliseconds | None = Field(default=None, alias="header_timeout_ms")
    idle_ms: Milliseconds | None = Field(default=None, alias="idle_timeout_ms")


class ConfigurationDocument(_Document):
    """The operator's configuration; its entries are validated one by one."""

    version: int
    routes: tuple[Any, ...] = ()
    """Entries for `RouteDocument`, not yet validated."""
    services: tuple[Any, ...] = ()
    """Entries for `ServiceDocument`, not yet validated."""
    limits: Any = None
    """An entry for `LimitsDocument`, not yet validated; None if there are no limits."""
