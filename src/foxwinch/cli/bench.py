"""`foxwinch bench`: measurements and experiments, never part of a deployed node."""

from dataclasses import dataclass

import cappa

from foxwinch.cli.bench_detection import DetectionCommand
from foxwinch.cli.bench_failover import FailoverCommand
from foxwinch.cli.bench_overhead import OverheadCommand
from foxwinch.cli.bench_peer import PeerCommand
from foxwinch.cli.bench_schedule import BenchScheduleCommand


@cappa.command(name="bench", help="Measurements, and experiments on models.")
@dataclass
class BenchCommand:
    """Measurements, and experiments on models."""

    command: cappa.Subcommands[
        FailoverCommand | BenchScheduleCommand | PeerCommand | DetectionCommand | OverheadCommand
    ]
