"""`foxwinch bench`: experiments, never part of a deployed node."""

from dataclasses import dataclass

import cappa

from foxwinch.cli.bench_schedule import BenchScheduleCommand


@cappa.command(name="bench", help="Experiments on models of the engines.")
@dataclass
class BenchCommand:
    """Experiments on models of the engines."""

    command: cappa.Subcommands[BenchScheduleCommand]
