"""`foxwinch shards list`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from foxwinch._generated import operator_pb2 as pb
from foxwinch.cli.connection import Connection
from foxwinch.cli.help import examples
from foxwinch.cli.output import print_message, print_table, warn_of_silent_nodes

HEADINGS = ("shard", "owner", "epoch", "state", "replicas", "records", "behind")


@cappa.command(
    name="list",
    help="List the shards with owner, epoch, replicas and how far the store is behind.",
    description=examples("foxwinch shards list", "foxwinch shards list --json"),
)
@dataclass(kw_only=True)
class ShardsListCommand:
    """List the shards."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Ask and print."""
        response: pb.ListShardsResponse = self.connection.ask(
            lambda client: client.query(lambda stub: stub.ListShards, pb.ListShardsRequest())
        )
        if self.json:
            print_message(response)
            return
        print_table(HEADINGS, [_row(shard) for shard in response.shards])
        warn_of_silent_nodes(response.silent_nodes)


@cappa.command(name="shards", help="The shards of the region's programs.")
@dataclass
class ShardsCommand:
    """The shards of the region's programs."""

    command: cappa.Subcommands[ShardsListCommand]


def _row(shard: pb.ShardStatus) -> tuple[object, ...]:
    behind = shard.last_index - shard.stored_index
    replicas = ",".join(shard.replicas)
    return (shard.shard, shard.owner, shard.epoch, shard.state, replicas, shard.last_index, behind)
