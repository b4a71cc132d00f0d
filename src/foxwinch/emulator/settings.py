"""Settings of the stand-ins: what is served, and the faults in force."""

from typing import Annotated, Literal

from pydantic import Field

from foxwinch.emulator.faults import EngineFaults, ServiceFaults, ToolFaults
from foxwinch.settings.addresses import IpAddress, Port
from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import ClusterConfiguration, Name

EVERY_ENGINE = "*"
"""Name under which faults of all engines are given."""


class EmulatedEngine(StrictModel):
    """One stand-in engine, at `/workers/NAME`."""

    name: Name
    models: tuple[Name, ...]
    zone: Name = "zone"


class EmulatedToolWorker(StrictModel):
    """One stand-in tool worker, at `/tools/NAME`."""

    name: Name
    zone: Name = "zone"


class FaultSettings(StrictModel):
    """Faults of every service; a service that is not named keeps those it has."""

    store: ServiceFaults | None = None
    machines: ServiceFaults | None = None
    tools: ToolFaults | None = None
    engines: dict[str, EngineFaults] = Field(default_factory=dict)
    """By name of the engine, or `*` for all."""


class EmulatorSettings(StrictModel):
    """All stand-ins of one process."""

    host: IpAddress = "127.0.0.1"
    port: Port = 0
    region: Name = "region"
    engines: tuple[EmulatedEngine, ...] = ()
    tool_workers: tuple[EmulatedToolWorker, ...] = ()
    tools: tuple[Name, ...] | None = None
    """Tools that are served; without a list every name is."""
    pace: Literal["modelled", "instant"] = "modelled"
    """`modelled`: tokens when a real engine would give them. `instant`: at once, for benches."""
    maximum_answer_tokens: Annotated[int, Field(ge=1, le=100_000)] = 16
    faults: FaultSettings = FaultSettings()


def settings_of_cluster(
    document: ClusterConfiguration, maximum_answer_tokens: int = 16
) -> EmulatorSettings:
    """Return settings that serve every worker and tool of a cluster configuration."""
    pools = {pool.name: pool for pool in document.pools}
    engines = [w for w in document.workers if pools[w.pool].kind == "engine"]
    tool_workers = [w for w in document.workers if pools[w.pool].kind == "tool"]
    return EmulatorSettings(
        region=document.region,
        engines=tuple(
            EmulatedEngine(name=w.name, models=pools[w.pool].models, zone=w.zone) for w in engines
        ),
        tool_workers=tuple(EmulatedToolWorker(name=w.name, zone=w.zone) for w in tool_workers),
        tools=tuple(tool.name for tool in document.tools),
        maximum_answer_tokens=maximum_answer_tokens,
    )
