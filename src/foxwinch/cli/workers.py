"""The `foxwinch workers list|drain` commands."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from foxwinch._generated import operator_pb2 as pb
from foxwinch.cli.connection import Connection
from foxwinch.cli.help import examples
from foxwinch.cli.output import print_message, print_table, warn_of_unresponsive_nodes

HEADINGS = ("worker", "pool", "zone", "state", "steward", "epoch", "running", "waiting", "models")


@cappa.command(
    name="list",
    help="List the backend workers with their coordinator and queue length.",
    description=examples("foxwinch workers list", "foxwinch workers list --json"),
)
@dataclass(kw_only=True)
class WorkersListCommand:
    """List the workers."""

    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print one row per worker."""
        response: pb.ListWorkersResponse = self.connection.execute(
            lambda client: client.query(lambda stub: stub.ListWorkers, pb.ListWorkersRequest())
        )
        if self.json:
            print_message(response)
            return
        rows = [
            (w.worker, w.pool, w.zone, w.state, w.steward, w.epoch, w.running, w.waiting,
             ",".join(w.models))
            for w in response.workers
        ]  # fmt: skip
        print_table(HEADINGS, rows)
        warn_of_unresponsive_nodes(response.silent_nodes)


@cappa.command(
    name="drain",
    help="Stop sending calls to a worker; running ones finish or resume on other workers.",
    description=examples("foxwinch workers drain plan-llm-3"),
)
@dataclass(kw_only=True)
class WorkersDrainCommand:
    """Drain a worker."""

    worker: Annotated[str, cappa.Arg(help="Name of the worker, as in `workers list`")]
    connection: cappa.Destructured[Connection]

    def __call__(self) -> None:
        """Send the drain command and print a confirmation."""
        self.connection.execute(
            lambda client: client.command(
                lambda stub: stub.DrainWorker, pb.DrainWorkerRequest(worker=self.worker)
            )
        )
        print(f"draining worker={self.worker}")


@cappa.command(name="workers", help="List and drain the backend workers.")
@dataclass
class WorkersCommand:
    """Group of the worker commands."""

    command: cappa.Subcommands[WorkersListCommand | WorkersDrainCommand]
