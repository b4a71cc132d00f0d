"""Settings of the emulated services: what is served, and the active faults."""

from typing import Annotated, Literal

from pydantic import Field

from foxwinch.emulator.faults import EngineFaults, ServiceFaults, ToolFaults
from foxwinch.settings.addresses import IpAddress, Port
from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import ClusterConfiguration, Name

ALL_ENGINES = "*"
"""Key of faults that apply to all engines."""


class EmulatedEngine(StrictModel):
    """One emulated engine, at `/workers/NAME`."""

    name: Name
    models: tuple[Name, ...]
    zone: Name = "zone"


class EmulatedToolWorker(StrictModel):
    """One emulated tool worker, at `/tools/NAME`."""

    name: Name
    zone: Name = "zone"


class FaultSettings(StrictModel):
    """Faults by service; a service that is not named keeps its present faults."""

    store: ServiceFaults | None = None
    machines: ServiceFaults | None = None
    tools: ToolFaults | None = None
    engines: dict[str, EngineFaults] = Field(default_factory=dict)
    """Faults by engine name, or under `*` for all engines."""


class EmulatorSettings(StrictModel):
    """All emulated services of one process."""

    host: IpAddress = "127.0.0.1"
    port: Port = 0
    region: Name = "region"
    engines: tuple[EmulatedEngine, ...] = ()
    tool_workers: tuple[EmulatedToolWorker, ...] = ()
    tools: tuple[Name, ...] | None = None
    """Tools that are served; None serves every name."""
    pace: Literal["modelled", "instant"] = "modelled"
    """`modelled` times tokens as a real engine would; `instant` sends all at once, for benches."""
    maximum_answer_tokens: Annotated[int, Field(ge=1, le=100_000)] = 16
    faults: FaultSettings = FaultSettings()


def settings_of_cluster(
    document: ClusterConfiguration, maximum_answer_tokens: int = 16
) -> EmulatorSettings:
    """Return settings that emulate every worker and tool of a cluster configuration."""
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
