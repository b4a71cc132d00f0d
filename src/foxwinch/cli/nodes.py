"""`foxwinch nodes list|drain`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from foxwinch._generated import operator_pb2 as pb
from foxwinch.cli.connection import Connection
from foxwinch.cli.help import examples
from foxwinch.cli.output import print_message, print_table

HEADINGS = ("node", "address", "zone", "region", "state", "revision", "programs", "running", "note")


@cappa.command(
    name="list",
    help="List the nodes with their state, revision and work.",
    description=examples("foxwinch nodes list", "foxwinch nodes list --json"),
)
@dataclass(kw_only=True)
class NodesListCommand:
    """List the nodes."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Ask and print."""
        response: pb.ListNodesResponse = self.connection.ask(
            lambda client: client.query(lambda stub: stub.ListNodes, pb.ListNodesRequest())
        )
        if self.json:
            print_message(response)
            return
        print_table(HEADINGS, [_row(node) for node in response.nodes])


@cappa.command(
    name="drain",
    help="Begin the planned stop of a node: it hands over, finishes what runs and exits.",
    description=examples("foxwinch nodes drain tvm-hall-1-3f2a9c01b7de"),
)
@dataclass(kw_only=True)
class NodesDrainCommand:
    """Drain a node."""

    node: Annotated[str, cappa.Arg(help="Node, as `nodes list` names it")]
    connection: cappa.Destructured[Connection]

    def __call__(self) -> None:
        """Give the command."""
        self.connection.ask(
            lambda client: client.command(
                lambda stub: stub.DrainNode, pb.DrainNodeRequest(node=self.node)
            )
        )
        print(f"draining node={self.node}")


@cappa.command(name="nodes", help="The nodes of the region.")
@dataclass
class NodesCommand:
    """The nodes of the region."""

    command: cappa.Subcommands[NodesListCommand | NodesDrainCommand]


def _row(node: pb.NodeStatus) -> tuple[object, ...]:
    notes = [node.not_ready_because] if node.not_ready_because else []
    notes += [f"cut off from {region}" for region in node.cut_off_regions]
    if not node.answered:
        notes.append("no answer")
    return (
        node.node,
        node.address,
        node.zone,
        node.region,
        node.state,
        node.configuration_revision,
        node.held_families,
        node.running_requests,
        "; ".join(notes),
    )
