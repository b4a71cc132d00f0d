"""Measure the overhead of a node relative to a pass-through proxy for the same engine.

The node, the pass-through and the engine itself (`direct`) serve the same requests with the same
engine process in the same run. Their order alternates between rounds, so that other load on the
machine affects all of them. Only ratios are compared.
"""

import asyncio
import json
import statistics
import tempfile
from collections.abc import Callable, Sequence
from contextlib import ExitStack, suppress
from dataclasses import asdict, dataclass
from pathlib import Path

from foxwinch.backends.engine_http import (
    HEADER_CALL,
    HEADER_EPOCH,
    HEADER_PRIORITY,
    HEADER_PROGRAM,
    HEADER_RESUME_OFFSET,
)
from foxwinch.bench.overhead_settings import (
    CALLER_KEY,
    ENGINES,
    MODEL,
    UNFENCED_ENGINES,
    SettingsFiles,
    write_settings,
)
from foxwinch.bench.processes import BenchProcess
from foxwinch.bench.stream_client import (
    IncompleteResponseError,
    Load,
    LoadResult,
    prepare_request,
    run_load,
)

DIRECT_HEADERS = {
    HEADER_CALL: "direct",
    HEADER_PROGRAM: "direct",
    HEADER_EPOCH: "1",
    HEADER_PRIORITY: "0",
    HEADER_RESUME_OFFSET: "0",
}
PROMPT = "From Carmarthen to Wrecsam on Friday with two children, by the window, please."


@dataclass(frozen=True, slots=True)
class Case:
    """Load of one measurement."""

    outstanding: int
    chunks: int
    requests: int
    """Requests to each side in one round."""


CASES = (Case(1, 8, 200), Case(1, 200, 60), Case(32, 8, 1_500), Case(32, 200, 150))
WARM_UP_REQUESTS = 100
START_TIMEOUT_SECONDS = 60.0
READY_REQUESTS = 300
"""Successive requests that must succeed before the measurement starts."""
START_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Side:
    """A server under test: the engine itself, the pass-through or the node."""

    name: str
    url: str
    headers: dict[str, str]
    process: BenchProcess


@dataclass(frozen=True, slots=True)
class SideFigures:
    """Figures of one side: medians over the rounds, and mean CPU time per request."""

    requests_per_second: float
    chunks_per_second: float
    median_latency_seconds: float
    processor_seconds_per_request: float


@dataclass(frozen=True, slots=True)
class CaseFigures:
    """Ratios of one case, each the median of the ratios per round."""

    outstanding: int
    chunks: int
    throughput_ratio: float
    """Requests per second of the node, relative to the pass-through."""
    chunk_ratio: float
    """Chunks per second of the node, relative to the pass-through."""
    added_latency_ratio: float | None
    """Median latency added to the engine's own by the node, relative to the pass-through.

    None above 1 outstanding request, where requests also queue behind each other at the engine.
    """
    direct: SideFigures
    pass_through: SideFigures
    node: SideFigures


@dataclass(frozen=True, slots=True)
class OverheadReport:
    """Figures of all cases, and the ratios that have a goal."""

    throughput_ratio: float
    """Lowest ratio with the most outstanding requests; goal: at least 0.5."""
    chunk_ratio: float
    """Lowest ratio with the most outstanding requests; goal: at least 0.5."""
    added_latency_ratio: float
    """Highest ratio at 1 outstanding request; goal: at most 2.5."""
    rounds: int
    journal: str
    cases: tuple[CaseFigures, ...]

    def to_json(self) -> str:
        """Return the report as JSON."""
        return json.dumps(asdict(self), indent=2) + "\n"


def run_overhead(
    rounds: int, print_line: Callable[[str], None], cases: Sequence[Case] = CASES
) -> OverheadReport:
    """Start the processes, run every case and stop the processes."""
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        sides = _start(stack, directory)
        asyncio.run(_wait_until_ready(sides[2]))
        figures = []
        for case in cases:
            figures.append(asyncio.run(_run_case(sides, case, rounds)))
            print_line(_format_case(figures[-1]))
    busiest = [f for f in figures if f.outstanding == max(c.outstanding for c in cases)]
    single = [f for f in figures if f.outstanding == min(c.outstanding for c in cases)]
    return OverheadReport(
        throughput_ratio=min(f.throughput_ratio for f in busiest),
        chunk_ratio=min(f.chunk_ratio for f in busiest),
        added_latency_ratio=max(f.added_latency_ratio or 0.0 for f in single),
        rounds=rounds,
        journal="three nodes in three zones, records in the memory of a majority",
        cases=tuple(figures),
    )


def _start(stack: ExitStack, directory: Path) -> tuple[Side, Side, Side]:
    log = directory / "log"
    files = write_settings(directory)
    emulator = stack.enter_context(
        BenchProcess(
            "foxwinch",
            "emulator",
            "--settings",
            str(files.emulator),
            expected=["workers_url", "store_url", "machines_url"],
            log=log,
        )
    )
    workers_url = emulator.printed["workers_url"]
    configuration = files.write_configuration([f"{workers_url}/{name}" for name in ENGINES])
    workers = [f"{workers_url}/{name}" for name in UNFENCED_ENGINES]
    pass_through = stack.enter_context(
        BenchProcess("foxwinch.bench.pass_through", *workers, expected=["caller_url"], log=log)
    )
    node = _start_nodes(stack, files, configuration, emulator, log)
    bearer = {"Authorization": f"Bearer {CALLER_KEY}"}
    return (
        Side("direct", workers[0], DIRECT_HEADERS, emulator),
        Side("pass_through", pass_through.printed["caller_url"], bearer, pass_through),
        Side("node", node.printed["caller_url"], bearer, node),
    )


def _start_nodes(
    stack: ExitStack,
    files: SettingsFiles,
    configuration: Path,
    emulator: BenchProcess,
    log: Path,
) -> BenchProcess:
    """Start a node in each zone and return the first one, which the others join."""
    nodes: list[BenchProcess] = []
    for settings in files.nodes:
        arguments = ["--settings", str(settings), "--configuration", str(configuration)]
        arguments += _platform_flags(emulator)
        if nodes:
            arguments += ["--peer", nodes[0].printed["peer_address"]]
        node = BenchProcess(
            "foxwinch", "node", *arguments, expected=["caller_url", "peer_address"], log=log
        )
        nodes.append(stack.enter_context(node))
    return nodes[0]


def _platform_flags(emulator: BenchProcess) -> list[str]:
    flags = []
    for name in ("store_url", "machines_url"):
        flags += [f"--{name.replace('_', '-')}", emulator.printed[name]]
    return flags


async def _wait_until_ready(side: Side) -> None:
    """Retry until `READY_REQUESTS` succeed in a row: new nodes must first take over the workers."""
    load = _load(side, Case(1, 1, 1), READY_REQUESTS)
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            with suppress(IncompleteResponseError):
                await run_load(load)
                return
            await asyncio.sleep(START_RETRY_SECONDS)


async def _run_case(sides: tuple[Side, Side, Side], case: Case, rounds: int) -> CaseFigures:
    results: dict[str, list[LoadResult]] = {side.name: [] for side in sides}
    processor: dict[str, float] = dict.fromkeys(results, 0.0)
    for side in sides:
        await run_load(_load(side, case, min(case.requests, WARM_UP_REQUESTS)))
    for number in range(rounds):
        for side in sides if number % 2 == 0 else sides[::-1]:
            before = side.process.processor_seconds()
            results[side.name].append(await run_load(_load(side, case, case.requests)))
            processor[side.name] += side.process.processor_seconds() - before
    figures = {
        name: _side_figures(side_results, processor[name]) for name, side_results in results.items()
    }
    compared = list(zip(*(results[side.name] for side in sides), strict=True))
    return CaseFigures(
        case.outstanding,
        case.chunks,
        statistics.median(n.requests_per_second / p.requests_per_second for _, p, n in compared),
        statistics.median(n.chunks_per_second / p.chunks_per_second for _, p, n in compared),
        _added_latency_ratio(case, compared),
        figures["direct"],
        figures["pass_through"],
        figures["node"],
    )


def _added_latency_ratio(case: Case, compared: list[tuple[LoadResult, ...]]) -> float | None:
    if case.outstanding > 1:
        return None
    return statistics.median(
        _added_latency_seconds(d, n) / _added_latency_seconds(d, p) for d, p, n in compared
    )


def _load(side: Side, case: Case, requests: int) -> Load:
    body = json.dumps(
        {
            "model": MODEL,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": case.chunks,
            "stream": True,
        }
    ).encode()
    request = prepare_request(side.url, body, side.headers)
    return Load(side.url, request, requests, case.outstanding, case.chunks)


def _added_latency_seconds(direct: LoadResult, side: LoadResult) -> float:
    """Return the median latency that a side adds to that of the engine."""
    return _median_latency_seconds(side) - _median_latency_seconds(direct)


def _median_latency_seconds(result: LoadResult) -> float:
    return statistics.median(result.latencies_seconds)


def _side_figures(rounds: list[LoadResult], processor_seconds: float) -> SideFigures:
    requests = sum(result.requests for result in rounds)
    return SideFigures(
        statistics.median(result.requests_per_second for result in rounds),
        statistics.median(result.chunks_per_second for result in rounds),
        statistics.median(_median_latency_seconds(result) for result in rounds),
        processor_seconds / requests,
    )


def _format_case(figures: CaseFigures) -> str:
    added = figures.added_latency_ratio
    return (
        f"outstanding={figures.outstanding} chunks={figures.chunks} "
        f"throughput_ratio={figures.throughput_ratio:.3f} chunk_ratio={figures.chunk_ratio:.3f} "
        f"added_latency_ratio={'-' if added is None else f'{added:.3f}'} "
        f"pass_through_requests_per_second={figures.pass_through.requests_per_second:.0f} "
        f"node_requests_per_second={figures.node.requests_per_second:.0f} "
        f"direct_requests_per_second={figures.direct.requests_per_second:.0f}"
    )
