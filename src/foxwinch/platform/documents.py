"""The platform's documents, checked and decoded once into types with the project's names.

A document that lacks a field, or holds one of another type, is refused as a whole; each route and
service of the operator's configuration is such a document. Fields that are not named here are
passed over.
"""

from enum import StrEnum
from typing import Annotated, Any, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from foxwinch.core.routing.configuration import RouteKind
from foxwinch.settings.addresses import IpAndPort

Milliseconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Name = Annotated[str, Field(min_length=1)]


def _known_kind(value: object) -> object:
    """Return a kind that may run once in place of one that is not known: it allows the least."""
    return value if value in tuple(RouteKind) else RouteKind.UNSAFE


class _Document(BaseModel):
    """Base of documents; fields have the project's names, their aliases are the platform's."""

    model_config = ConfigDict(frozen=True, populate_by_name=True)


class WorkerState(StrEnum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerEntry(_Document):
    """A worker's own entry in the list of workers; its key is the worker's id.

    Other writers put entries there too, so no type is converted into another one.
    """

    model_config = ConfigDict(strict=True)

    service: Name
    address: IpAndPort
    zone: str
    software_version: str | int = Field(alias="version")
    slots: Annotated[int, Field(ge=1)]
    state: WorkerState
    cold_ms: Milliseconds = Field(alias="cold_left_ms")
    """How much longer it stays slow after its start."""
    entry_count: int = Field(alias="seq")
    """Counts the entries that it wrote in this life."""
    started_ms: int | None = Field(default=None, alias="born")
    """Unix time of its start; tells its lives under one id apart."""


class BackendDocument(_Document):
    """A service that takes a part of a route's requests."""

    service: Name
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 1.0


class RouteDocument(_Document):
    """Where the requests of a host and path prefix go."""

    name: Name
    host: Name
    path_prefix: str
    kind: Annotated[RouteKind, BeforeValidator(_known_kind)] = Field(alias="type")
    service: Name | None = None
    """The only service; None where `backends` shares the requests out."""
    backends: tuple[BackendDocument, ...] | None = None
    timeout_ms: Milliseconds | None = None
    target_ms: Milliseconds | None = None
    event_gap_ms: Milliseconds | None = Field(default=None, alias="gap_aim_ms")
    workers_maximum: int | None = Field(default=None, alias="attempts")
    """Workers that one request may run on."""
    priority: int | None = None
    resumable: bool | None = None
    retained: bool | None = Field(default=None, alias="retain")
    retain_seconds: Annotated[float, Field(ge=0)] | None = Field(default=None, alias="retain_s")

    @model_validator(mode="after")
    def _names_a_service(self) -> Self:
        if self.service is None and not self.backends:
            raise ValueError("names no service")
        return self


class EngineDocument(_Document):
    """What model workers of a service have in common."""

    slots: int | None = None
    tokens_per_event: int | None = Field(default=None, alias="chunk_tokens")


class ServiceDocument(_Document):
    """A group of workers that do the same work."""

    name: Name
    health_path: str | None = None
    connections_maximum: int | None = Field(default=None, alias="max_conns")
    """Connections that one worker accepts over all callers."""
    engine: EngineDocument | None = None


class LimitsDocument(_Document):
    """What a caller may send, and how long it may take."""

    header_bytes: int | None = Field(default=None, alias="max_header_bytes")
    body_bytes: int | None = Field(default=None, alias="max_body_bytes")
    header_ms: Milliseconds | None = Field(default=None, alias="header_timeout_ms")
    idle_ms: Milliseconds | None = Field(default=None, alias="idle_timeout_ms")


class ConfigurationDocument(_Document):
    """The operator's whole configuration; its entries are checked one by one."""

    version: int
    routes: tuple[Any, ...] = ()
    """Of `RouteDocument`."""
    services: tuple[Any, ...] = ()
    """Of `ServiceDocument`."""
    limits: Any = None
    """Of `LimitsDocument`; None where there are none."""
