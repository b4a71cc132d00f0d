"""The `foxwinch programs list|show|abandon` commands."""

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Annotated

import cappa

from foxwinch._generated import operator_pb2 as pb
from foxwinch.cli.connection import Connection
from foxwinch.cli.help import examples
from foxwinch.cli.output import print_message, print_table, warn_of_unresponsive_nodes

LIST_HEADINGS = (
    "program",
    "tenant",
    "template",
    "class",
    "state",
    "node",
    "calls",
    "tokens",
    "created",
)
CALL_HEADINGS = (
    "call",
    "kind",
    "target",
    "state",
    "worker",
    "prompt",
    "cached",
    "wait s",
    "latency s",
    "reason",
)


@cappa.command(
    name="list",
    help="List programs, newest first.",
    description=examples(
        "foxwinch programs list", "foxwinch programs list --tenant ward --state running --json"
    ),
)
@dataclass(kw_only=True)
class ProgramsListCommand:
    """List programs."""

    connection: cappa.Destructured[Connection]
    tenant: Annotated[str, cappa.Arg(long="--tenant", help="Show only programs of this tenant")] = (
        ""
    )
    state: Annotated[str, cappa.Arg(long="--state", help="Show only programs in this state")] = ""
    limit: Annotated[
        int, cappa.Arg(long="--limit", help="Maximum number of programs, up to 1000")
    ] = 100
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print one row per program."""
        request = pb.ListProgramsRequest(tenant=self.tenant, state=self.state, limit=self.limit)
        response: pb.ListProgramsResponse = self.connection.execute(
            lambda client: client.query(lambda stub: stub.ListPrograms, request)
        )
        if self.json:
            print_message(response)
            return
        rows = [_program_row(program) for program in response.programs]
        print_table(LIST_HEADINGS, rows)
        warn_of_unresponsive_nodes(response.silent_nodes)


@cappa.command(
    name="show",
    help="Show a program: the node that serves it and the scheduling decision for each call.",
    description=examples("foxwinch programs show P", "foxwinch programs show P --json"),
)
@dataclass(kw_only=True)
class ProgramsShowCommand:
    """Show a program and its calls."""

    program: Annotated[str, cappa.Arg(help="Id of the program, as in `programs list`")]
    connection: cappa.Destructured[Connection]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False

    def __call__(self) -> None:
        """Query the node and print the program and its calls."""
        request = pb.ShowProgramRequest(program_id=self.program)
        response: pb.ShowProgramResponse = self.connection.execute(
            lambda client: client.query(lambda stub: stub.ShowProgram, request)
        )
        if self.json:
            print_message(response)
            return
        detail = response.program
        print_table(LIST_HEADINGS, [_program_row(detail.summary)])
        facts = [
            ("parent", detail.parent_program_id or "-"),
            ("children", ",".join(detail.children) or "-"),
            ("journal batches", detail.batches),
            ("cost", f"{detail.cost:g}"),
        ]
        print_table(("fact", "value"), facts)
        print_table(CALL_HEADINGS, [_call_row(call) for call in detail.calls])


@cappa.command(
    name="abandon",
    help="Abandon a program: no further calls run, and its KV cache on the engines is released.",
    description=examples("foxwinch programs abandon P"),
)
@dataclass(kw_only=True)
class ProgramsAbandonCommand:
    """Abandon a program."""

    program: Annotated[str, cappa.Arg(help="Id of the program, as in `programs list`")]
    connection: cappa.Destructured[Connection]

    def __call__(self) -> None:
        """Send the command and print a confirmation."""
        request = pb.AbandonProgramRequest(program_id=self.program)
        self.connection.execute(
            lambda client: client.command(lambda stub: stub.AbandonProgram, request)
        )
        print(f"abandoned program={self.program}")


@cappa.command(name="programs", help="List, show and abandon the programs of all tenants.")
@dataclass
class ProgramsCommand:
    """Group of the program commands."""

    command: cappa.Subcommands[ProgramsListCommand | ProgramsShowCommand | ProgramsAbandonCommand]


def _program_row(program: pb.ProgramSummary) -> tuple[object, ...]:
    created = datetime.fromtimestamp(program.created_at_seconds, UTC)
    return (
        program.program_id,
        program.tenant,
        program.template,
        program.class_name,
        program.state,
        program.node,
        program.calls,
        program.tokens,
        created.isoformat(timespec="seconds"),
    )


def _call_row(call: pb.CallStatus) -> tuple[object, ...]:
    return (
        call.call_id,
        call.kind,
        call.target,
        call.state,
        call.worker,
        call.prompt_tokens,
        call.cached_tokens,
        f"{call.waited_seconds:.3f}",
        f"{call.latency_seconds:.3f}",
        call.reason,
    )
