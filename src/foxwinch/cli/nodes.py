"""The `foxwinch nodes list|drain` commands."""

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
    help="List the nodes with their state, configuration revision and load.",
    description=examples("foxwinch nodes list", "foxwinch nodes list --json"),
)
@dataclass(kw_only=True)
class NodesListCommand:
    """List the nodes."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print one row per node of the region."""
        response: pb.ListNodesResponse = self.connection.execute(
            lambda client: client.query(lambda stub: stub.ListNodes, pb.ListNodesRequest())
        )
        if self.json:
            print_message(response)
            return
        print_table(HEADINGS, [_node_row(node) for node in response.nodes])


@cappa.command(
    name="drain",
    help="Start a planned stop of a node: it hands over, finishes running requests and exits.",
    description=examples("foxwinch nodes drain tvm-hall-1-3f2a9c01b7de"),
)
@dataclass(kw_only=True)
class NodesDrainCommand:
    """Drain a node."""

    node: Annotated[str, cappa.Arg(help="Name of the node, as in `nodes list`")]
    connection: cappa.Destructured[Connection]

    def __call__(self) -> None:
        """Send the drain command and print a confirmation."""
        self.connection.execute(
            lambda client: client.command(
                lambda stub: stub.DrainNode, pb.DrainNodeRequest(node=self.node)
            )
        )
        print(f"draining node={self.node}")


@cappa.command(name="nodes", help="List and drain the nodes of the region.")
@dataclass
class NodesCommand:
    """Group of the node commands."""

    command: cappa.Subcommands[NodesListCommand | NodesDrainCommand]


def _node_row(node: pb.NodeStatus) -> tuple[object, ...]:
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
