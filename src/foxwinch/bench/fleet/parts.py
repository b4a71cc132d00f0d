"""A fleet's report in parts: one size and some scenarios at a time, written after each scenario.

`python -m foxwinch.bench.fleet.parts run 570 steady,zone PART` and
`python -m foxwinch.bench.fleet.parts join REPORT PART...`. The seed and the places are those of
`foxwinch bench fleet` at the design size, and so are the figures.
"""

import json
import resource
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from foxwinch.bench.commit import current_commit
from foxwinch.bench.fleet.fleet import FleetShape
from foxwinch.bench.fleet.run import merged, report_of, resident_bytes
from foxwinch.bench.fleet.scenarios import SCENARIOS, warm_up
from foxwinch.bench.fleet.world import FleetWorld

REGIONS = 8
ZONES = 22
SEED = 1
COMMAND = "python -m foxwinch.bench.fleet.parts"


def run_part(nodes: int, scenarios: Sequence[str], path: Path) -> None:
    """Run scenarios one after another on one fleet."""
    started = time.monotonic()
    before_bytes = resident_bytes()
    world = FleetWorld(FleetShape(nodes, REGIONS, ZONES), SEED)
    converged = warm_up(world)
    memory = round((resident_bytes() - before_bytes) / nodes)
    figures: dict[str, Any] = {}
    for name in scenarios:
        figures[name] = SCENARIOS[name](world).to_json()
        part = {
            "nodes": nodes,
            "cold_start_seconds": converged,
            "memory_bytes_per_node": memory,
            "peak_resident_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
            "wall_seconds": round(time.monotonic() - started, 1),
            "commit": current_commit(),
            "scenarios": figures,
        }
        path.write_text(json.dumps(part), encoding="utf-8")


def join_parts(parts: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Return the report of all parts, which must be of one commit."""
    commits = {part["commit"] for part in parts}
    if len(commits) != 1:
        raise ValueError(f"parts of several commits: {sorted(commits)}")
    sizes = sorted({part["nodes"] for part in parts})
    bare = [{k: v for k, v in part.items() if k != "commit"} for part in parts]
    runs = [merged([part for part in bare if part["nodes"] == size]) for size in sizes]
    ran = "; ".join(f"run {part['nodes']} {','.join(part['scenarios'])}" for part in bare)
    report = report_of(f"{COMMAND} {ran}", runs)
    report["commit"] = commits.pop()
    return report


def main(arguments: Sequence[str]) -> None:
    """Run or join."""
    if arguments[0] == "run":
        run_part(int(arguments[1]), arguments[2].split(","), Path(arguments[3]))
        return
    parts = [json.loads(Path(path).read_text(encoding="utf-8")) for path in arguments[2:]]
    report = json.dumps(join_parts(parts), indent=1) + "\n"
    Path(arguments[1]).write_text(report, encoding="utf-8")


if __name__ == "__main__":
    main(sys.argv[1:])
