"""Runs each scenario on a new cluster and collects the results in a report."""

import asyncio
import tempfile
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from foxwinch.bench.failover.cluster import FailoverCluster
from foxwinch.bench.failover.operators import change_configuration
from foxwinch.bench.failover.programs import ProgramLoad
from foxwinch.bench.failover.scenarios import DETECTION_SECONDS, FaultLog, Scenario
from foxwinch.bench.failover.verdict import (
    ScenarioResult,
    judge,
    record_recovery,
    recovery_seconds,
    running_programs,
)
from foxwinch.settings.cluster import ClusterConfiguration

WARM_UP_SECONDS = 5.0
"""Duration of load before the fault, so that every node owns programs with calls in flight."""
SETTLE_SECONDS = 3.0
"""Delay between the end of load and reading the emulator's state, for late effects to arrive."""
CONFIGURATION_DELAY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FailoverOptions:
    """Options of a benchmark run."""

    document: ClusterConfiguration
    scenarios: Sequence[Scenario]
    callers: int
    seed: int
    keep_logs: Path | None = None


def run_failover(options: FailoverOptions, print_line: Callable[[str], None]) -> dict[str, Any]:
    """Run every scenario and return the report."""
    report: dict[str, Any] = {
        "deployment": options.document.deployment,
        "detection_seconds": DETECTION_SECONDS,
        "callers": options.callers,
        "scenarios": {},
    }
    for scenario in options.scenarios:
        result = asyncio.run(_run_in_directory(options, scenario))
        report["scenarios"][scenario.name] = result.document()
        print_line(_summary_line(scenario, result))
    return report


async def _run_in_directory(options: FailoverOptions, scenario: Scenario) -> ScenarioResult:
    if options.keep_logs is not None:
        directory = options.keep_logs / scenario.name
        directory.mkdir(parents=True, exist_ok=True)
        return await run_scenario(options, scenario, directory)
    with tempfile.TemporaryDirectory() as name:
        return await run_scenario(options, scenario, Path(name))


async def run_scenario(
    options: FailoverOptions, scenario: Scenario, directory: Path
) -> ScenarioResult:
    """Run one scenario on a new cluster."""
    async with FailoverCluster(options.document, directory) as cluster:
        load = ProgramLoad(cluster, options.callers, options.seed)
        running = asyncio.create_task(load.run())
        try:
            await asyncio.sleep(WARM_UP_SECONDS)
            log = FaultLog()
            configuration_seconds = await _with_fault(cluster, scenario, log)
            load.stop()
            await running
        finally:
            running.cancel()
        await asyncio.sleep(SETTLE_SECONDS)
        result = judge(load.records, await cluster.emulator_state(), log.windows, scenario.planned)
    _record_recoveries(result, load, log)
    result.config_seconds_max = configuration_seconds
    result.exit_codes = log.exit_codes
    result.details += [f"exit code {code}" for code in log.exit_codes if code != 0]
    return result


async def _with_fault(cluster: FailoverCluster, scenario: Scenario, log: FaultLog) -> float | None:
    """Inject the fault, and change the configuration during or after it."""
    fault = asyncio.ensure_future(scenario.fault(cluster, log))
    try:
        if scenario.configuration_during:
            await asyncio.sleep(CONFIGURATION_DELAY_SECONDS)
            seconds = await change_configuration(cluster)
            await fault
        else:
            await fault
            seconds = await change_configuration(cluster)
    finally:
        fault.cancel()
    return seconds


def _record_recoveries(result: ScenarioResult, load: ProgramLoad, log: FaultLog) -> None:
    found: list[float] = []
    for fault_at, affected in log.affected:
        running = running_programs(load.records, fault_at)
        found += recovery_seconds(load.records, affected & running or running, fault_at)
    record_recovery(result, found)


def _summary_line(scenario: Scenario, result: ScenarioResult) -> str:
    return (
        f"{scenario.name}: calls={result.calls} lost={result.lost_histories}"
        f" mixed={result.mixed_histories} double={result.double_runs}"
        f" untrue={result.untrue_not_run} cut={result.cut_requests} unknown={result.unknown}"
        f" recovery_p50={result.recovery_seconds_p50} recovery_max={result.recovery_seconds_max}"
        f" config={result.config_seconds_max} unanswered={result.unanswered}"
    )
