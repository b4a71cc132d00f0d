"""The `foxwinch settings schema` command."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import cappa

from foxwinch.cli.help import examples
from foxwinch.platform.settings import ServeSettings
from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings

MODELS: Mapping[str, type[StrictModel]] = {
    "node": NodeSettings,
    "cluster": ClusterConfiguration,
    "serve": ServeSettings,
}


@cappa.command(
    name="schema",
    help="Print the JSON Schema of a settings file.",
    description=examples("foxwinch settings schema node", "foxwinch settings schema cluster"),
)
@dataclass(kw_only=True)
class SettingsSchemaCommand:
    """Print the JSON Schema of a settings file."""

    document: Annotated[
        Literal["node", "cluster", "serve"],
        cappa.Arg(
            help="node, serve: settings of one process; cluster: configuration shared by all nodes"
        ),
    ]

    def __call__(self) -> None:
        """Print the schema of the chosen document."""
        print(json.dumps(MODELS[self.document].model_json_schema(), indent=2))


@cappa.command(name="settings", help="Describe the settings files.")
@dataclass
class SettingsCommand:
    """Group of the settings commands."""

    command: cappa.Subcommands[SettingsSchemaCommand]
