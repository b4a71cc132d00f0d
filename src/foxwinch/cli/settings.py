"""`foxwinch settings schema`."""

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
    """Print a JSON Schema."""

    document: Annotated[
        Literal["node", "cluster", "serve"],
        cappa.Arg(
            help="node, serve: settings of one process; cluster: the configuration of all nodes"
        ),
    ]

    def __call__(self) -> None:
        """Print."""
        print(json.dumps(MODELS[self.document].model_json_schema(), indent=2))


@cappa.command(name="settings", help="What settings files may hold.")
@dataclass
class SettingsCommand:
    """What settings files may hold."""

    command: cappa.Subcommands[SettingsSchemaCommand]
