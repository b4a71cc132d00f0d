"""The `foxwinch node` command."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.help import examples
from foxwinch.cli.output import fail, fail_settings
from foxwinch.log import configure_logging
from foxwinch.node.process import run_node
from foxwinch.settings.base import SettingsError
from foxwinch.settings.load import load_node_settings, load_proposed

PLATFORM = cappa.Group(name="Platform", order=5)


@cappa.command(
    name="node",
    help="Run one node until SIGTERM, SIGINT or a drain command.",
    description=examples(
        "foxwinch node --settings examples/node-tvm-hall.toml",
        "foxwinch node --settings node.toml --name n2 --zone kollam-hall --peer 127.0.0.1:7103",
    ),
)
@dataclass(kw_only=True)
class NodeCommand:
    """Run one node."""

    settings: Annotated[
        Path | None,
        cappa.Arg(long="--settings", help="Node settings (TOML); options override them"),
    ] = None
    name: Annotated[str | None, cappa.Arg(long="--name", help="Node name")] = None
    region: Annotated[str | None, cappa.Arg(long="--region", help="Region")] = None
    zone: Annotated[str | None, cappa.Arg(long="--zone", help="Zone")] = None
    host: Annotated[str | None, cappa.Arg(long="--host", help="IP address to listen on")] = None
    caller_port: Annotated[int | None, cappa.Arg(long="--caller-port", help="0: any free port")] = (
        None
    )
    operator_port: Annotated[
        int | None, cappa.Arg(long="--operator-port", help="0: any free port")
    ] = None
    peer_port: Annotated[int | None, cappa.Arg(long="--peer-port", help="0: any free port")] = None
    peers: Annotated[
        list[str],
        cappa.Arg(long="--peer", help="Address of a peer to join, ip:port; repeatable"),
    ] = None  # type: ignore[assignment]
    configuration: Annotated[
        Path | None,
        cappa.Arg(long="--configuration", help="Cluster configuration to propose (TOML)"),
    ] = None
    store_url: Annotated[
        str | None, cappa.Arg(long="--store-url", help="URL of the shared store", group=PLATFORM)
    ] = None
    machines_url: Annotated[
        str | None, cappa.Arg(long="--machines-url", help="URL of the machine list", group=PLATFORM)
    ] = None

    def __call__(self) -> None:
        """Run until the node is stopped and drained."""
        settings = load_node_settings(self.settings, self._overrides())
        if isinstance(settings, SettingsError):
            fail_settings(settings)
        proposed = load_proposed(settings, self.settings)
        if isinstance(proposed, SettingsError):
            fail_settings(proposed)
        configure_logging(settings.log_level)
        try:
            drained = run_node(settings, proposed, print_addresses)
        except OSError as error:
            fail(ExitCode.INVALID, f"cannot start: {error}")
        if not drained:
            fail(
                ExitCode.DRAIN_CUT_SHORT,
                f"drain_seconds = {settings.drain_seconds:g} expired with work in progress",
            )

    def _overrides(self) -> dict[str, object]:
        configuration = None
        if self.configuration is not None:
            configuration = str(self.configuration.resolve())
        return {
            "name": self.name,
            "region": self.region,
            "zone": self.zone,
            "host": self.host,
            "caller_port": self.caller_port,
            "operator_port": self.operator_port,
            "peer_port": self.peer_port,
            "seeds": self.peers or None,
            "configuration_file": configuration,
            "platform.store_url": self.store_url,
            "platform.machines_url": self.machines_url,
        }


def print_addresses(addresses: dict[str, str]) -> None:
    """Print `name=value` lines; the node accepts connections once they are printed."""
    for name, value in addresses.items():
        print(f"{name}={value}", flush=True)
