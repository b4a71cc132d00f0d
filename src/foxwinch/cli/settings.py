"""`foxwinch settings schema`."""

import json
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from foxwinch.cli.help import examples
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings


@cappa.command(
    name="schema",
    help="Print the JSON Schema of a settings file.",
    description=examples("foxwinch settings schema node", "foxwinch settings schema cluster"),
)
@dataclass(kw_only=True)
class SettingsSchemaCommand:
    """Print a JSON Schema."""

    document: Annotated[
        Literal["node", "cluster"],
        cappa.Arg(help="node: settings of one process; cluster: the configuration of all"),
    ]

    def __call__(self) -> None:
        """Print."""
        model = NodeSettings if self.document == "node" else ClusterConfiguration
        print(json.dumps(model.model_json_schema(), indent=2))


@cappa.command(name="settings", help="What settings files may hold.")
@dataclass
class SettingsCommand:
    """What settings files may hold."""

    command: cappa.Subcommands[SettingsSchemaCommand]
