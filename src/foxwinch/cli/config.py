"""`foxwinch config get|check|diff|apply|status`."""

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
"""A change whose answer was lost is sent again under its token, which applies it once."""


@cappa.command(
    name="get",
    help="Print the configuration in force and its revision.",
    description=examples("foxwinch config get", "foxwinch config get --json"),
)
@dataclass(kw_only=True)
class ConfigGetCommand:
    """Print the configuration in force."""

    connection: cappa.Destructured[Connection]
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the revision too, the document as a string")
    ] = False

    def __call__(self) -> None:
        """Ask and print."""
        response: pb.GetConfigurationResponse = self.connection.ask(
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
    help="Check a configuration file without changing anything; needs no node.",
    description=examples("foxwinch config check examples/physio.toml"),
)
@dataclass(kw_only=True)
class ConfigCheckCommand:
    """Check a configuration file."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Check and print."""
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
    help="Compare a file with the configuration in force; exit code 9 when they differ.",
    description=examples("foxwinch config diff physio.toml", "foxwinch config diff f.toml --json"),
)
@dataclass(kw_only=True)
class ConfigDiffCommand:
    """Compare a file with the configuration in force."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Ask and print."""
        request = pb.DiffConfigurationRequest(document_json=_read(self.file))
        response: pb.DiffConfigurationResponse = self.connection.ask(
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
    help="Put a file in force if the revision it was made from is still the newest.",
    description=examples("foxwinch config apply physio.toml --expected-revision 7"),
)
@dataclass(kw_only=True)
class ConfigApplyCommand:
    """Put a file in force."""

    file: Annotated[Path, cappa.Arg(help="Cluster configuration (TOML)")]
    expected_revision: Annotated[
        int,
        cappa.Arg(long="--expected-revision", help="Revision the change was made from; 0: none"),
    ]
    connection: cappa.Destructured[Connection]
    token: Annotated[
        str, cappa.Arg(long="--token", help="Token of an earlier try whose outcome is unknown")
    ] = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Give the command."""
        request = pb.ApplyConfigurationRequest(
            expected_revision=self.expected_revision,
            document_json=_read(self.file),
            token=self.token or uuid.uuid4().hex,
            repeated=bool(self.token),
        )
        response: pb.ApplyConfigurationResponse = self.connection.ask(
            lambda client: _apply(client, request)
        )
        if self.json:
            print_message(response)
        else:
            print(f"accepted revision={response.revision}")


@cappa.command(
    name="status",
    help="Show the revision at each node; exit code 9 when a node is behind or silent.",
    description=examples("foxwinch config status", "foxwinch config status --json"),
)
@dataclass(kw_only=True)
class ConfigStatusCommand:
    """Show the revision at each node."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Ask and print."""
        response: pb.GetConfigurationStatusResponse = self.connection.ask(
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


@cappa.command(name="config", help="The cluster configuration.")
@dataclass
class ConfigCommand:
    """The cluster configuration."""

    command: cappa.Subcommands[
        ConfigGetCommand
        | ConfigCheckCommand
        | ConfigDiffCommand
        | ConfigApplyCommand
        | ConfigStatusCommand
    ]


async def _apply(client: OperatorClient, request: pb.ApplyConfigurationRequest) -> Any | Refused:
    """Send a change until its outcome is known; the token makes that harmless."""
    outcome: Any = None
    for _ in range(APPLY_ATTEMPTS):
        outcome = await client.command(lambda stub: stub.ApplyConfiguration, request)
        if not isinstance(outcome, Refused) or outcome.run_state is not RunState.UNKNOWN:
            return outcome
        request.repeated = True
    detail = f"{outcome.detail}; apply again with --token {request.token}"
    return outcome_unknown(outcome.reason, detail)


def _status_row(node: pb.NodeRevision) -> tuple[object, ...]:
    if not node.answered:
        return (node.node, node.zone, node.state, "no answer", "", "")
    serving = "yes" if node.serving else "no"
    return (node.node, node.zone, node.state, node.held_revision, node.heard_revision, serving)


def _read(path: Path) -> str:
    document = load_cluster_configuration(path)
    if isinstance(document, SettingsError):
        fail_settings(document)
    return document.model_dump_json()
