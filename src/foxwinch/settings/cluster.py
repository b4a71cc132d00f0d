"""Models of the cluster configuration, which operators apply and the shared store keeps.

The configuration is one document with one revision. It is validated as a whole, including cross
references, before any node accepts it.
"""

from collections import Counter
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from foxwinch.settings.base import StrictModel

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
"""A name: letters, digits, dot, underscore and hyphen, up to 63 characters."""
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
"""SHA-256 of a bearer key in lower-case hexadecimal; the keys themselves are never stored."""
PositiveSeconds = Annotated[float, Field(gt=0, le=86_400)]


class TenantSettings(StrictModel):
    """A tenant with its keys, priority classes and rate limits."""

    name: Name
    key_hashes: tuple[KeyHash, ...] = ()
    classes: tuple[Name, ...] = ()
    """Priority classes that the tenant may use; empty means all."""
    requests_per_second: Annotated[float, Field(gt=0)] = 100.0
    tokens_per_second: Annotated[float, Field(gt=0)] = 100_000.0
    burst_seconds: PositiveSeconds = 5.0


class ClassSettings(StrictModel):
    """A priority class."""

    name: Name
    rank: Annotated[int, Field(ge=0, le=9)]
    """0 is the most urgent class, which is shed last under overload."""
    deadline_seconds: PositiveSeconds
    """Latency target of a complete program of this class, without the time spent in tools."""
    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    """Limit over all tenants and nodes; None means no limit."""
    tokens_per_second: Annotated[float, Field(gt=0)] | None = None
    """Limit over all tenants and nodes; None means no limit."""


class ModelSettings(StrictModel):
    """A model that programs may use."""

    name: Name
    context_tokens: Annotated[int, Field(ge=1, le=2_000_000)] = 32_768
    minimum_workers: Annotated[int, Field(ge=0)] = 1
    version: str = "1"
    adapters: tuple[Name, ...] = ()


class PoolSettings(StrictModel):
    """A pool of workers of one kind."""

    name: Name
    kind: Literal["engine", "tool"]
    models: tuple[Name, ...] = ()
    """Models that engines of this pool may load."""


class WorkerSettings(StrictModel):
    """A backend worker."""

    name: Name
    pool: Name
    zone: Name
    url: Annotated[str, Field(pattern=r"^https?://[^\s]+$")]
    """Base URL with an IP address, such as `http://127.0.0.1:7101`."""


class ToolSettings(StrictModel):
    """A tool that programs may call."""

    name: Name
    pool: Name
    repeatable: bool
    """Whether a call may be retried after it may have run; False means at most once."""
    timeout_seconds: PositiveSeconds = 30.0


class BudgetSettings(StrictModel):
    """Budget of one program, including its sub-agents."""

    tokens: Annotated[int, Field(ge=1)] = 1_000_000
    calls: Annotated[int, Field(ge=1)] = 500
    depth: Annotated[int, Field(ge=0, le=16)] = 4
    """Maximum levels of sub-agents below the program; 0 allows none."""
    wall_seconds: Annotated[float, Field(gt=0)] = 86_400.0
    cost: Annotated[float, Field(gt=0)] = 1_000_000.0
    """Cost limit in the operator's unit; see `cost_per_token` and `cost_per_tool_call`."""
    repeated_calls: Annotated[int, Field(ge=2)] = 5
    """Number of identical consecutive calls after which a program is stopped as looping."""


class TemplateSettings(StrictModel):
    """A template from which callers create programs."""

    name: Name
    class_name: Name
    models: tuple[Name, ...]
    tools: tuple[Name, ...] = ()
    budget: BudgetSettings = BudgetSettings()
    idle_seconds: PositiveSeconds = 3_600.0
    """Time without a call after which a program counts as abandoned."""


class ClusterConfiguration(StrictModel):
    """The configuration document."""

    deployment: Name
    region: Name
    zones: tuple[Name, ...]
    tenants: tuple[TenantSettings, ...]
    classes: tuple[ClassSettings, ...]
    models: tuple[ModelSettings, ...]
    pools: tuple[PoolSettings, ...]
    workers: tuple[WorkerSettings, ...] = ()
    tools: tuple[ToolSettings, ...] = ()
    templates: tuple[TemplateSettings, ...]
    default_template: Name
    """Template for calls that name no program."""
    objective: Literal["latency", "cache"] = "latency"
    """Scheduling objective: minimize program latency or wasted cache."""
    cost_per_token: Annotated[float, Field(ge=0)] = 0.0
    cost_per_tool_call: Annotated[float, Field(ge=0)] = 0.0

    @model_validator(mode="after")
    def _names_are_unique(self) -> Self:
        for field in ("tenants", "classes", "models", "pools", "workers", "tools", "templates"):
            counts = Counter(entry.name for entry in getattr(self, field))
            duplicates = sorted(name for name, count in counts.items() if count > 1)
            if duplicates:
                raise ValueError(f"{field}: names must be unique; duplicates: {duplicates}")
        return self

    @model_validator(mode="after")
    def _references_exist(self) -> Self:
        known = {
            field: {entry.name for entry in getattr(self, field)}
            for field in ("classes", "models", "pools", "tools", "templates")
        }
        known["zones"] = set(self.zones)
        for field, name, target in self._references():
            if name not in known[target]:
                allowed = ", ".join(sorted(known[target]))
                raise ValueError(f"{field} = {name!r}: not among {target}; allowed: {allowed}")
        return self

    def _references(self) -> list[tuple[str, str, str]]:
        """Return every reference as (field, name, referenced field)."""
        references = [("default_template", self.default_template, "templates")]
        for tenant in self.tenants:
            references += [(f"tenants.{tenant.name}.classes", n, "classes") for n in tenant.classes]
        for pool in self.pools:
            references += [(f"pools.{pool.name}.models", n, "models") for n in pool.models]
        for worker in self.workers:
            references.append((f"workers.{worker.name}.pool", worker.pool, "pools"))
            references.append((f"workers.{worker.name}.zone", worker.zone, "zones"))
        for tool in self.tools:
            references.append((f"tools.{tool.name}.pool", tool.pool, "pools"))
        for template in self.templates:
            references.append(
                (f"templates.{template.name}.class_name", template.class_name, "classes")
            )
            references += [
                (f"templates.{template.name}.models", n, "models") for n in template.models
            ]
            references += [(f"templates.{template.name}.tools", n, "tools") for n in template.tools]
        return references
