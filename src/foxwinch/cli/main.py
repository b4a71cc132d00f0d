"""Entry point of the command-line interface: `foxwinch COMMAND`."""

from dataclasses import dataclass

import cappa

from foxwinch.cli.bench import BenchCommand
from foxwinch.cli.config import ConfigCommand
from foxwinch.cli.dev import DevCommand
from foxwinch.cli.emulator import EmulatorCommand
from foxwinch.cli.explain import ExplainCommand
from foxwinch.cli.fuzz import FuzzCommand
from foxwinch.cli.node import NodeCommand
from foxwinch.cli.nodes import NodesCommand
from foxwinch.cli.programs import ProgramsCommand
from foxwinch.cli.serve import ServeCommand
from foxwinch.cli.settings import SettingsCommand
from foxwinch.cli.workers import WorkersCommand


@cappa.command(name="foxwinch", help="A scheduler for agent programs.")
@dataclass
class Foxwinch:
    """Root command, which selects a subcommand."""

    command: cappa.Subcommands[
        NodeCommand
        | ServeCommand
        | ExplainCommand
        | DevCommand
        | EmulatorCommand
        | ConfigCommand
        | ProgramsCommand
        | NodesCommand
        | WorkersCommand
        | SettingsCommand
        | FuzzCommand
        | BenchCommand
    ]


def main() -> None:
    """Parse the arguments and run the selected command."""
    cappa.invoke(Foxwinch)


if __name__ == "__main__":
    main()
