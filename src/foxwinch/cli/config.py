"""The `foxwinch config get|check|diff|apply|status` commands."""

import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from foxwinch._generated import operator_pb2 as pb
from foxwinch.cli.connection import Connection
from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail_settings, print_message, print_table
from foxwinch.operator.client import OperatorClient
from foxwinch.outcomes import Refused, RunState, outcome_unknown
from foxwinch.settings.base import SettingsError
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.load import load_cluster_configuration

STATUS_HEADINGS = ("node", "zone", "state", "held", "heard", "serving")
APPLY_ATTEMPTS = 3
"""Number of times a change with a lost response is sent; its token makes retries idempotent."""


@cappa.command(
    name="get",
    help="Print the active configuration and its revision.",
    description=examples("foxwinch config get", "foxwinch config get --json"),
)
@dataclass(kw_only=True)
class ConfigGetCommand:
    """Print the active configuration."""

    connection: cappa.Destructured[Connection]
    json: Annotated[
        bool,
        cappa.Arg(long="--json", help="Print JSON with the revision and the document as a string"),
    ] = False

    def __call__(self) -> None:
        """Query the node and print the configuration."""
        response: pb.GetConfigurationResponse = self.connection.execute(
            lambda client: client.query(
                lambda stub: stub.GetConfiguration, pb.GetConfigurationRequest()
            )
        )
        if self.json:
            print_message(response)
            return
        document = ClusterConfiguration.model_validate_json(response.document_json)
        print(f"# revision {response.revision}")
        print(document.model_dump_json(indent=2))


@cappa.command(
    name="check",
    help="Validate a configuration file without connecting to a node.",
    description=examples("foxwinch config check examples/physio.toml"),
)
@dataclass(kw_only=True)
class ConfigCheckCommand:
    """Validate a configuration file."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Validate the file and print the problems found."""
        document = load_cluster_configuration(self.file)
        problems = document.problems if isinstance(document, SettingsError) else ()
        if self.json:
            print_message(pb.CheckConfigurationResponse(problems=problems))
        if isinstance(document, SettingsError):
            fail_settings(document)
        if not self.json:
            print(f"{self.file}: accepted")


@cappa.command(
    name="diff",
    help="Compare a file with the active configuration; exit code 9 when they differ.",
    description=examples("foxwinch config diff physio.toml", "foxwinch config diff f.toml --json"),
)
@dataclass(kw_only=True)
class ConfigDiffCommand:
    """Compare a file with the active configuration."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print the differences."""
        request = pb.DiffConfigurationRequest(document_json=_load_as_json(self.file))
        response: pb.DiffConfigurationResponse = self.connection.execute(
            lambda client: client.query(lambda stub: stub.DiffConfiguration, request)
        )
        if self.json:
            print_message(response)
        else:
            print(f"# against revision {response.revision}")
            for item in response.differences:
                before, after = item.in_force_json or "(absent)", item.proposed_json or "(absent)"
                print(f"{item.path}: {before} -> {after}")
        if response.differences:
            raise cappa.Exit(code=ExitCode.DIFFERENT)


@cappa.command(
    name="apply",
    help="Activate a configuration file if its base revision is still the newest.",
    description=examples("foxwinch config apply physio.toml --expected-revision 7"),
)
@dataclass(kw_only=True)
class ConfigApplyCommand:
    """Activate a configuration file."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    expected_revision: Annotated[
        int,
        cappa.Arg(long="--expected-revision", help="Base revision of the change; 0: none"),
    ]
    connection: cappa.Destructured[Connection]
    token: Annotated[
        str, cappa.Arg(long="--token", help="Token of an earlier attempt with an unknown outcome")
    ] = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Send the change and print the accepted revision."""
        request = pb.ApplyConfigurationRequest(
            expected_revision=self.expected_revision,
            document_json=_load_as_json(self.file),
            token=self.token or uuid.uuid4().hex,
            repeated=bool(self.token),
        )
        response: pb.ApplyConfigurationResponse = self.connection.execute(
            lambda client: _apply(client, request)
        )
        if self.json:
            print_message(response)
        else:
            print(f"accepted revision={response.revision}")


@cappa.command(
    name="status",
    help="Show the revision of each node; exit code 9 if one is outdated or unresponsive.",
    description=examples("foxwinch config status", "foxwinch config status --json"),
)
@dataclass(kw_only=True)
class ConfigStatusCommand:
    """Show the revision of each node."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print one row per node."""
        response: pb.GetConfigurationStatusResponse = self.connection.execute(
            lambda client: client.query(
                lambda stub: stub.GetConfigurationStatus, pb.GetConfigurationStatusRequest()
            )
        )
        if self.json:
            print_message(response)
        else:
            print_table(STATUS_HEADINGS, [_status_row(node) for node in response.nodes])
        if any(node.held_revision != response.newest_revision for node in response.nodes):
            raise cappa.Exit(code=ExitCode.DIFFERENT)


@cappa.command(name="config", help="Inspect and change the cluster configuration.")
@dataclass
class ConfigCommand:
    """Group of the cluster configuration commands."""

    command: cappa.Subcommands[
        ConfigGetCommand
        | ConfigCheckCommand
        | ConfigDiffCommand
        | ConfigApplyCommand
        | ConfigStatusCommand
    ]


async def _apply(client: OperatorClient, request: pb.ApplyConfigurationRequest) -> Any | Refused:
    """Send a change, retrying with the same token while its outcome is unknown."""
    outcome: Any = None
    for _ in range(APPLY_ATTEMPTS):
        outcome = await client.command(lambda stub: stub.ApplyConfiguration, request)
        if not isinstance(outcome, Refused) or outcome.run_state is not RunState.UNKNOWN:
            return outcome
        request.repeated = True
    detail = f"{outcome.detail}; retry with --token {request.token}"
    return outcome_unknown(outcome.reason, detail)


def _status_row(node: pb.NodeRevision) -> tuple[object, ...]:
    if not node.answered:
        return (node.node, node.zone, node.state, "no answer", "", "")
    serving = "yes" if node.serving else "no"
    return (node.node, node.zone, node.state, node.held_revision, node.heard_revision, serving)


def _load_as_json(path: Path) -> str:
    document = load_cluster_configuration(path)
    if isinstance(document, SettingsError):
        fail_settings(document)
    return document.model_dump_json()
