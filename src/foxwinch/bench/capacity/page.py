"""Writes the capacity page from the committed measurements."""

import json
import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from foxwinch.bench.capacity.design import DesignSize, Limits
from foxwinch.bench.capacity.lines import (
    NOT_MEASURED,
    Line,
    budget_lines,
    control_lines,
    document_lines,
    load_lines,
    peer_lines,
    retry_lines,
    store_lines,
)
from foxwinch.bench.capacity.units import (
    decision_lines,
    decision_load_lines,
    journal_lines,
    limit_lines,
    operator_lines,
    overhead_lines,
)
from foxwinch.bench.fleet.measures import by_size, exponent
from foxwinch.bench.fleet.scenarios import SCENARIOS, WARM_UP_SPREAD_SECONDS

INTRODUCTION = """# Capacity

Made by `foxwinch bench capacity` from `docs/measurements/*.json`; do not edit. *Measured* figures
are read from those files, *computed* ones are arithmetic on the design size, and *not measured*
says what no run has shown yet. Headroom is limit over figure; below 1 it is a shortfall.
"""


SERVING_NODE = (
    "- These lines are of `foxwinch node`. `foxwinch serve`, the node on the users' platform, has\n"
    "  been played with 11 to 13 machines only; see design/platform.md.\n"
)


def render(measurements: Path) -> str:
    """Return the page for the measurements in a directory."""
    size, limits = DesignSize(), Limits()
    fleet: dict[str, Any] = read(measurements / "fleet.json", {})
    peer: dict[str, Any] = read(measurements / "peer.json", {})
    overhead: dict[str, Any] = read(measurements / "overhead.json", {})
    units: dict[str, Any] = read(measurements / "unit_costs.json", {})
    storm: list[dict[str, Any]] = read(measurements / "retry_storm.json", [])
    sections = (
        ("What one node carries", load_lines(size)),
        (f"Control code{_scope(fleet, size)}", control_lines(fleet, limits)),
        ("The configuration document at its design size", document_lines(fleet, size, limits)),
        ("Gossip", budget_lines(size, limits)),
        (f"Table service{_scope(fleet, size)}", store_lines(fleet, size)),
        ("Requests between nodes", peer_lines(peer)),
        ("Gateway and program owner", overhead_lines(overhead, size)),
        ("Stewards' decisions", decision_lines(units) + decision_load_lines(units, size)),
        ("Journal replicas", journal_lines(units, size)),
        ("Limits", limit_lines(units, size)),
        ("Operator side", operator_lines(units)),
        ("Repeats after a return (model of one back end)", retry_lines(storm)),
    )
    parts = [INTRODUCTION, _design(size)]
    parts += [f"## {title}\n\n{_table(lines)}" for title, lines in sections]
    parts += [_slopes(fleet), _scenarios(fleet), _gaps(fleet, sections)]
    parts.append(_sources(fleet, peer, overhead, units))
    return "\n".join(parts)


def read(path: Path, absent: Any) -> Any:
    """Read one measurement; `absent` when there is none."""
    return json.loads(path.read_text(encoding="utf-8")) if path.exists() else absent


def number(value: float | int | None) -> str:
    """Return a figure with three significant digits."""
    if value is None:
        return "-"
    if value == 0 or abs(value) >= 1_000:
        return f"{value:,.0f}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    return f"{value:.{digits}f}"


def _scope(fleet: dict[str, Any], size: DesignSize) -> str:
    """Return what a heading must say where the largest run is not of the design size."""
    if not fleet:
        return ""
    nodes = fleet["runs"][-1]["nodes"]
    scenarios = ", ".join(fleet["runs"][-1]["scenarios"])
    if nodes == size.nodes:
        return f" (measured at {nodes} nodes; scenarios there: {scenarios})"
    only = f"measured at {nodes} nodes only, scenarios {scenarios}"
    return f" ({only}, not at the design size of {size.nodes})"


def _design(size: DesignSize) -> str:
    return (
        f"## Design size\n\n{size.nodes} nodes in {size.regions} regions and {size.zones} zones; "
        f"{size.workers:,} workers with\n{size.accelerators:,} accelerators, {size.models} models; "
        f"{size.requests_per_second:,.0f} requests/s, {size.tokens_per_second:,.0f} tokens/s; "
        f"first token after {size.first_token_seconds} s,\n{size.token_gap_seconds * 1000:.0f} ms "
        f"between tokens for 95 in 100; {size.programs:,} live programs of "
        f"{size.turns_per_program} turns and {size.tokens_per_program:,} tokens;\n"
        f"{size.tenants:,} tenants; {size.changes_per_day:,} changes a day; "
        f"{size.machine_failures_per_day} machine failures and {size.restarts_per_day:,} restarts "
        "a day.\n"
    )


def _table(lines: Sequence[Line]) -> str:
    head = "| Role | Mechanism | Quantity | Figure | How | Limit | Headroom | What breaks first |"
    rows = [head, "|---|---|---|---|---|---|---|---|"]
    for line in lines:
        figure = f"{number(line.value)} {line.unit}".strip()
        headroom = number(line.headroom)
        if line.headroom is not None and line.headroom < 1:
            headroom = f"**shortfall** ({headroom})"
        rows.append(
            f"| {line.role} | {line.mechanism} | {line.quantity} | {figure} | {line.how} | "
            f"{number(line.limit)} | {headroom} | {line.breaks_first} |"
        )
    return "\n".join(rows) + "\n"


def _slopes(fleet: dict[str, Any]) -> str:
    """Return the fitted exponents: 0 does not grow with the fleet, 1 grows in proportion."""
    rows = [
        "## Growth with the number of nodes\n",
        "Exponent of each figure as a power of the number of nodes, regions and zones kept; 0: "
        "does not grow, 1: in proportion.\n",
        "| Figure | Exponent | " + " | ".join(f"{r['nodes']} nodes" for r in fleet.get("runs", []))
        + " |",
        "|---|---|" + "---|" * len(fleet.get("runs", [])),
    ]  # fmt: skip
    for name in ("cold_start_seconds", "memory_bytes_per_node"):
        pairs = [(run["nodes"], run[name]) for run in fleet.get("runs", [])]
        cells = " | ".join(number(value) for _, value in pairs)
        rows.append(f"| `{name}` | {exponent(pairs)} | {cells} |")
    for name, fitted in fleet.get("slopes", {}).items():
        values = dict(by_size(fleet["runs"], SCENARIOS, name))
        cells = " | ".join(number(values.get(run["nodes"])) for run in fleet["runs"])
        rows.append(f"| `{name}` | {'-' if fitted is None else fitted} | {cells} |")
    rows.append(
        f"\nCold start: until every view is whole, {WARM_UP_SPREAD_SECONDS:.0f} s of it the spread "
        "of the starts, looked at each 5 s."
    )
    return "\n".join(rows) + "\n"


def _scenarios(fleet: dict[str, Any]) -> str:
    if not fleet:
        return "## Scenarios\n\nNot measured.\n"
    ran = {
        name: (run["nodes"], run["scenarios"][name])
        for run in fleet["runs"]
        for name in SCENARIOS
        if name in run["scenarios"]
    }  # the largest run of each
    rows = [
        "## Scenarios, each at its largest finished run (measured, virtual time)\n",
        "| Figure | " + " | ".join(f"{name}, {nodes} nodes" for name, (nodes, _) in ran.items())
        + " |",
        "|---|" + "---|" * len(ran),
    ]  # fmt: skip
    for figure in next(iter(ran.values()))[1]:
        cells = " | ".join(number(figures[figure]) for _, figures in ran.values())
        rows.append(f"| `{figure}` | {cells} |")
    if "day" in ran:
        compression = number(fleet["day_compression"])
        rows.append(f"\nThe day's failures come {compression} times faster than in a day.")
    largest = fleet["runs"][-1]
    left_out = [name for name in SCENARIOS if name not in largest["scenarios"]]
    if left_out:
        rows.append(f"\nNot run at {largest['nodes']} nodes: {', '.join(left_out)}.")
    never = [name for name in SCENARIOS if name not in ran]
    if never:
        rows.append(f"\nWithout a finished run at any size: {', '.join(never)}.")
    return "\n".join(rows) + "\n"


def _gaps(fleet: dict[str, Any], sections: Sequence[tuple[str, Sequence[Line]]]) -> str:
    short = [
        f"- Shortfall: {line.quantity} ({line.mechanism}): {number(line.value)} {line.unit} "
        f"against {number(line.limit)}."
        for _, lines in sections
        for line in lines
        if line.headroom is not None and line.headroom < 1
    ]
    absent = fleet.get("not_covered", ["everything"])
    keys = [name for name, value in fleet.items() if value is None]
    return "\n".join(
        [
            "## Shortfalls and gaps\n",
            *short,
            *_over_limit(fleet),
            f"- Not driven by the hollow fleet yet: {', '.join(absent)}.",
            f"- Keys without a figure: {', '.join(keys) or 'none'}.",
            f"- Lines without a measurement: {_unmeasured(sections)}.",
            SERVING_NODE,
        ]
    )


def _over_limit(fleet: dict[str, Any]) -> list[str]:
    """Return every size and scenario in which a node was above a limit."""
    limits = Limits()
    bounds = {
        "control_bytes_per_second_max": limits.control_bytes_per_second,
        "control_cpu_fraction_max": limits.control_cpu_fraction,
        "config_seconds_max": limits.configuration_seconds,
    }
    return [
        f"- Above the limit: `{name}`, {scenario} at {run['nodes']} nodes: "
        f"{number(figures[name])} against {number(bound)}."
        for run in fleet.get("runs", [])
        for scenario, figures in run["scenarios"].items()
        for name, bound in bounds.items()
        if (figures[name] or 0) > bound
    ]


def _unmeasured(sections: Sequence[tuple[str, Sequence[Line]]]) -> str:
    """Return how many lines of each section nothing has measured."""
    counted = [
        (title, sum(line.how == NOT_MEASURED for line in lines)) for title, lines in sections
    ]
    return "; ".join(f"{title}: {count}" for title, count in counted if count) or "none"


def _sources(*measurements: dict[str, Any]) -> str:
    rows = ["## Sources\n"]
    for found in measurements:
        if found:
            commit = found.get("commit", "not recorded")
            machine = found.get("machine", {}).get("processor", "not recorded")
            command = found.get("command", "foxwinch bench overhead")
            rows.append(f"- `{command}`, commit {commit}, processor {machine}.")
            rows += [f"  {found['note']}"] if "note" in found else []
    rows.append("- `python -m foxwinch.bench.retry_storm --seed 1`, virtual time.")
    return "\n".join(rows) + "\n"
