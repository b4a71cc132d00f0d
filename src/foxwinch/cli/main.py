"""The command line: `foxwinch COMMAND`."""

from dataclasses import dataclass

import cappa

from foxwinch.cli.dev import DevCommand


@cappa.command(name="foxwinch", help="A scheduler for agent programs.")
@dataclass
class Foxwinch:
    """A scheduler for agent programs."""

    command: cappa.Subcommands[DevCommand]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Foxwinch)


if __name__ == "__main__":
    main()
