"""Operator view of the programs that this node serves, without the content of their histories."""

from collections.abc import Iterator, Sequence

from foxwinch._generated.journal_pb2 import CallAdmitted
from foxwinch._generated.operator_pb2 import (
    CallStatus,
    ListProgramsRequest,
    ProgramDetail,
    ProgramSummary,
)
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.served_tree import ServedTree
from foxwinch.commands.views import state_name
from foxwinch.core.program.identity import root_of
from foxwinch.core.program.state import Call, Program, WaitingCall
from foxwinch.core.program.table import ProgramTable
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.outcomes import Reason, Refused, not_run

DEFAULT_LIMIT = 100
MAX_LIMIT = 1_000
KIND_NAMES = {CallAdmitted.MODEL: "model", CallAdmitted.TOOL: "tool", CallAdmitted.SPAWN: "spawn"}
WAITING_REASON = "behind {count} earlier calls of the program"
UNGRANTED_REASON = "budget reserved; waiting for a worker or for the commit of the intent"


class ServedPrograms:
    """Implements `foxwinch.queries.facts.ProgramFacts`."""

    def __init__(self, owner: ProgramOwner, node: NodeId) -> None:
        """Report the program trees that `owner` serves; `node` is this node."""
        self._owner = owner
        self._node = node

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return the matching programs, newest first, up to one more than the limit."""
        limit = min(request.limit or DEFAULT_LIMIT, MAX_LIMIT)
        matching = [
            (tree, program)
            for tree in self._owner.trees()
            for program in tree.table
            if _matches(request, program)
        ]
        matching.sort(key=lambda found: found[1].created.created_at_seconds, reverse=True)
        return [self._summary(tree, program) for tree, program in matching[: limit + 1]]

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program with its calls, and the reason for each call's wait and placement."""
        root = root_of(program_id)
        tree = self._owner.served_tree(root)
        if tree is not None:
            return self._detail(tree.table.find(program_id), program_id, tree)
        records = await self._owner.ports.trees.read(root)
        if isinstance(records, Refused):
            return records
        return self._detail(ProgramTable(records).find(program_id), program_id, None)

    def _detail(
        self, program: Program | None, program_id: ProgramId, tree: ServedTree | None
    ) -> ProgramDetail | Refused:
        """Describe a program; `tree` is None for one rebuilt from its journal."""
        if program is None:
            return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
        return ProgramDetail(
            summary=self._summary(tree, program),
            parent_program_id=program.created.parent_program_id,
            children=program.children,
            calls=list(_call_statuses(tree, program)),
            batches=tree.journal.batches if tree is not None else 0,
            cost=program.ledger.spent.cost,
        )

    def _summary(self, tree: ServedTree | None, program: Program) -> ProgramSummary:
        created = program.created
        return ProgramSummary(
            program_id=program.program_id,
            tenant=created.tenant,
            template=created.template,
            class_name=created.class_name,
            state=state_name(program),
            node=self._node if tree is not None else "",
            calls=program.ledger.spent.calls,
            tokens=program.ledger.spent.tokens,
            created_at_seconds=created.created_at_seconds,
        )


def _matches(request: ListProgramsRequest, program: Program) -> bool:
    if request.tenant and program.tenant != request.tenant:
        return False
    return not request.state or state_name(program) == request.state


def _call_statuses(tree: ServedTree | None, program: Program) -> Iterator[CallStatus]:
    for call in program.calls.values():
        yield _call_status(tree, call)
    for position, waiting in enumerate(program.waiting.values()):
        yield _waiting_status(waiting, position + (program.active is not None))


def _call_status(tree: ServedTree | None, call: Call) -> CallStatus:
    outcome = call.outcome
    running = tree.running.get(call.call_id) if tree is not None else None
    started = running.started if running is not None else None
    status = CallStatus(
        call_id=call.call_id,
        kind=KIND_NAMES.get(call.admitted.kind, ""),
        target=call.admitted.target,
        state=call.state.value,
    )
    if outcome is not None:
        status.worker = outcome.worker
        status.prompt_tokens = outcome.prompt_tokens
        status.cached_tokens = outcome.cached_tokens
        status.completion_tokens = outcome.completion_tokens
        status.waited_seconds = outcome.waited_seconds
        status.latency_seconds = outcome.finished_at_seconds - call.admitted.admitted_at_seconds
        status.reason = outcome.grant_reason or outcome.detail
    elif started is not None:
        status.worker = started.worker
        status.waited_seconds = started.waited_seconds
        status.reason = started.reason
    else:
        status.reason = UNGRANTED_REASON
    return status


def _waiting_status(waiting: WaitingCall, calls_ahead: int) -> CallStatus:
    return CallStatus(
        call_id=waiting.call_id, state="waiting", reason=WAITING_REASON.format(count=calls_ahead)
    )
