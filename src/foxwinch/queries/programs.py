"""The programs that this node serves, as operators see them: no content of histories."""

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
TURN_REASON = "behind {count} earlier calls of the program"
UNGRANTED_REASON = "its budget is reserved; it waits for a worker or for the commit of its intent"


class OwnedPrograms:
    """Implements `foxwinch.queries.facts.ProgramFacts`."""

    def __init__(self, owner: ProgramOwner, node: NodeId) -> None:
        """Read the owner's program trees; `node` is this node."""
        self._owner = owner
        self._node = node

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return programs that match, newest first, one more than the limit when there are more."""
        limit = min(request.limit or DEFAULT_LIMIT, MAX_LIMIT)
        matching = [
            (held, program)
            for held in self._owner.trees()
            for program in held.table
            if _matches(request, program)
        ]
        matching.sort(key=lambda found: found[1].created.created_at_seconds, reverse=True)
        return [self._summary(held, program) for held, program in matching[: limit + 1]]

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program with its calls and why each waited and went where it did."""
        root = root_of(program_id)
        held = self._owner.held(root)
        if held is not None:
            return self._detail(held.table.find(program_id), program_id, held)
        records = await self._owner.ports.trees.read(root)
        if isinstance(records, Refused):
            return records
        return self._detail(ProgramTable(records).find(program_id), program_id, None)

    def _detail(
        self, program: Program | None, program_id: ProgramId, held: ServedTree | None
    ) -> ProgramDetail | Refused:
        """Describe a program; one that is not served here as its journal tells."""
        if program is None:
            return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
        return ProgramDetail(
            summary=self._summary(held, program),
            parent_program_id=program.created.parent_program_id,
            children=program.children,
            calls=list(_calls(held, program)),
            batches=held.journal.batches if held is not None else 0,
            cost=program.ledger.spent.cost,
        )

    def _summary(self, held: ServedTree | None, program: Program) -> ProgramSummary:
        created = program.created
        return ProgramSummary(
            program_id=program.program_id,
            tenant=created.tenant,
            template=created.template,
            class_name=created.class_name,
            state=state_name(program),
            node=self._node if held is not None else "",
            calls=program.ledger.spent.calls,
            tokens=program.ledger.spent.tokens,
            created_at_seconds=created.created_at_seconds,
        )


def _matches(request: ListProgramsRequest, program: Program) -> bool:
    if request.tenant and program.tenant != request.tenant:
        return False
    return not request.state or state_name(program) == request.state


def _calls(held: ServedTree | None, program: Program) -> Iterator[CallStatus]:
    for call in program.calls.values():
        yield _call(held, call)
    for position, waiting in enumerate(program.waiting.values()):
        yield _waiting(waiting, position + (program.active is not None))


def _call(held: ServedTree | None, call: Call) -> CallStatus:
    outcome = call.outcome
    running = held.running.get(call.call_id) if held is not None else None
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


def _waiting(waiting: WaitingCall, ahead: int) -> CallStatus:
    return CallStatus(
        call_id=waiting.call_id, state="waiting", reason=TURN_REASON.format(count=ahead)
    )
