"""The `foxwinch bench` commands, which are not part of a deployed node."""

from dataclasses import dataclass

import cappa

from foxwinch.cli.bench_detection import DetectionCommand
from foxwinch.cli.bench_failover import FailoverCommand
from foxwinch.cli.bench_overhead import OverheadCommand
from foxwinch.cli.bench_peer import PeerCommand
from foxwinch.cli.bench_schedule import BenchScheduleCommand


@cappa.command(name="bench", help="Run benchmarks and simulation experiments.")
@dataclass
class BenchCommand:
    """Group of the benchmark commands."""

    command: cappa.Subcommands[
        FailoverCommand | BenchScheduleCommand | PeerCommand | DetectionCommand | OverheadCommand
    ]
