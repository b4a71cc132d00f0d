"""Starts a node on the platform with few imports: a start costs processor time there."""

import cappa

from foxwinch.cli.serve import ServeCommand


def main() -> None:
    """Run `foxwinch serve` with the arguments of this process."""
    cappa.invoke(ServeCommand)
