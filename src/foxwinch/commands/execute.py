"""Carry out requests on programs that this node owns."""

import hashlib
from collections.abc import AsyncIterator

from foxwinch._generated.journal_pb2 import CallAdmitted, JournalRecord, ProgramCreated
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_settings import creation, find_template, model_terms, tool_declaration
from foxwinch.commands.end_program import end_program
from foxwinch.commands.model_call import ModelCallDriver
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.requests import (
    AttachRequest,
    CreateRequest,
    EndRequest,
    HistoryRequest,
    ModelCallRequest,
    ProgramRequest,
    SpawnRequest,
    ToolCallRequest,
)
from foxwinch.commands.running_call import RunningCall
from foxwinch.commands.served_tree import ServedTree
from foxwinch.commands.spawn import SpawnDriver
from foxwinch.commands.tool_call import ToolCallDriver
from foxwinch.commands.views import ended_call, one_event, program_details
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import child_program_id, is_single_call
from foxwinch.core.program.requests import AlreadyEnded, AlreadyRunning, CallIntent
from foxwinch.core.program.state import Program
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.settings.cluster import ClusterConfiguration, TemplateSettings

MAX_WAITING_CALLS = 64
"""Calls of one program that may wait for their turn."""
WAITING_RETRY_SECONDS = 1.0
NOT_FOUND = not_run(Reason.NOT_FOUND, "the program is not known")
CALL_NOT_FOUND = not_run(Reason.NOT_FOUND, "the call is not known")
LEAVING = not_run(
    Reason.DRAINING, "the program's node is about to stop; another one takes over", 0.5
)
CALL_UNSETTLED = Refused(
    Reason.NOT_OWNER,
    RunState.UNKNOWN,
    "the program has changed hands and what became of the call is not settled yet",
    retry_after_seconds=1.0,
)
"""The call is known and its driver has ended: its outcome may be committed already."""


class ProgramExecutor:
    """Carries out requests on the programs of trees served here."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Use the owner's ports."""
        self._owner = owner
        self._ports = owner.ports

    def execute(self, held: ServedTree, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Start a request and iterate over its events."""
        match request:
            case ModelCallRequest():
                return self._model_call(held, request)
            case ToolCallRequest():
                return self._tool_call(held, request)
            case SpawnRequest():
                return self._spawn(held, request)
            case CreateRequest():
                return self._create(held, request)
            case EndRequest():
                return self._end(held, request)
            case AttachRequest():
                return self._attach(held, request)
            case HistoryRequest():
                return self._read(held, request)

    async def _read(self, held: ServedTree, request: HistoryRequest) -> AsyncIterator[ProgramEvent]:
        """Read a program once it is certain that no other node has taken it over."""
        refused = await held.confirm_read()
        if refused is not None:
            yield refused
            return
        program = self._find(held, request)
        yield NOT_FOUND if program is None else program_details(program)

    # --- calls ---------------------------------------------------------------------------

    def _model_call(
        self, held: ServedTree, request: ModelCallRequest
    ) -> AsyncIterator[ProgramEvent]:
        document = self._document()
        if isinstance(document, Refused):
            return one_event(document)
        program = self._find(held, request) or self._create_on_first_use(held, document, request)
        if isinstance(program, Refused):
            return one_event(program)
        terms = model_terms(document, program, request.model)
        if isinstance(terms, Refused):
            self._drop_if_unused(held, program)
            return one_event(terms)
        intent = CallIntent(
            program_id=program.program_id,
            call_id=self._new_call_id(),
            kind=CallAdmitted.MODEL,
            target=request.model,
            repeatable=True,
            messages=request.messages,
            append=request.append,
            parameters_json=request.parameters_json,
            maximum_tokens=request.maximum_tokens,
            idempotency_key=request.idempotency_key,
            request_hash=_model_call_hash(request) if request.idempotency_key else b"",
            cost_per_token=terms.cost_per_token,
            call_cost=0.0,
            history_limit_bytes=self._ports.history_bytes,
        )
        opened = self._open(held, program, intent, request.resume_offset)
        if not isinstance(opened, RunningCall):
            return opened
        life = CallLifecycle(self._ports, held, opened, is_single_call(program.program_id))
        driver = ModelCallDriver(self._ports, life, terms)
        self._owner.drive(opened, driver.run(intent))
        return opened.follow(request.resume_offset)

    def _tool_call(self, held: ServedTree, request: ToolCallRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(held, request)
        if program is None:
            return one_event(NOT_FOUND)
        document = self._document()
        if isinstance(document, Refused):
            return one_event(document)
        declaration = tool_declaration(document, program, request.tool)
        if isinstance(declaration, Refused):
            return one_event(declaration)
        intent = self._plain_intent(
            program,
            CallAdmitted.TOOL,
            request.tool,
            request.idempotency_key,
            parameters_json=request.arguments_json,
            tool_call_id=request.tool_call_id,
            repeatable=declaration.repeatable,
            call_cost=declaration.terms.call_cost,
        )
        opened = self._open(held, program, intent, 0)
        if not isinstance(opened, RunningCall):
            return opened
        driver = ToolCallDriver(
            self._ports, CallLifecycle(self._ports, held, opened), declaration.terms
        )
        self._owner.drive(opened, driver.run(intent))
        return opened.follow()

    def _spawn(self, held: ServedTree, request: SpawnRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(held, request)
        if program is None:
            return one_event(NOT_FOUND)
        template = self._template(request, request.template or program.created.template)
        if isinstance(template, Refused):
            return one_event(template)
        child = child_program_id(program.program_id, self._ports.clock.identifier()[:12])
        intent = self._plain_intent(
            program,
            CallAdmitted.SPAWN,
            child,
            request.idempotency_key,
            parameters_json=template.name,
            repeatable=False,
        )
        opened = self._open(held, program, intent, 0)
        if not isinstance(opened, RunningCall):
            return opened
        created = creation(
            template, program.tenant, child, self._ports.clock.wall(), parent=program
        )
        driver = SpawnDriver(self._ports, CallLifecycle(self._ports, held, opened), created)
        self._owner.drive(opened, driver.run(intent))
        return opened.follow()

    def _open(
        self, held: ServedTree, program: Program, intent: CallIntent, offset: int
    ) -> RunningCall | AsyncIterator[ProgramEvent]:
        """Queue a new call, or return the events of the one that its key names already."""
        if program.program_id in held.ending:
            detail = "the program is being finished or abandoned"
            return one_event(not_run(Reason.PROGRAM_FINISHED, detail))
        if len(program.waiting) >= MAX_WAITING_CALLS:
            detail = f"{MAX_WAITING_CALLS} calls of the program are waiting already"
            return one_event(not_run(Reason.OVERLOADED, detail, WAITING_RETRY_SECONDS))
        found = held.table.submit(
            program, intent.call_id, intent.idempotency_key, intent.request_hash
        )
        match found:
            case Refused():
                return one_event(found)
            case AlreadyRunning():
                return self._follow(held, found.call_id, offset)
            case AlreadyEnded():
                child = held.table.find(ProgramId(found.call.admitted.target))
                return ended_call(program, found.call, child, offset)
        if held.closing:
            held.table.withdraw(program, intent.call_id)
            self._drop_if_unused(held, program)
            return one_event(LEAVING)
        return self._owner.open_call(held, program, intent.call_id, intent.idempotency_key)

    def _attach(self, held: ServedTree, request: AttachRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(held, request)
        if program is None:
            return one_event(NOT_FOUND)
        call = program.calls.get(request.call_id)
        if call is not None and call.outcome is not None:
            child = held.table.find(ProgramId(call.admitted.target))
            return ended_call(program, call, child, request.offset)
        if call is not None or request.call_id in program.waiting:
            return self._follow(held, request.call_id, request.offset)
        return one_event(CALL_NOT_FOUND)

    def _follow(
        self, held: ServedTree, call_id: CallId, offset: int
    ) -> AsyncIterator[ProgramEvent]:
        running = held.running.get(call_id)
        if running is None:
            return one_event(CALL_UNSETTLED)
        if running.rerun and offset > 0:
            detail = "the answer is being made anew after the loss of a node: read from offset 0"
            return one_event(not_run(Reason.CONFLICT, detail))
        return running.follow(offset)

    # --- programs ------------------------------------------------------------------------

    async def _create(
        self, held: ServedTree, request: CreateRequest
    ) -> AsyncIterator[ProgramEvent]:
        template = self._template(request, request.template)
        if isinstance(template, Refused):
            yield template
            return
        known = held.table.find(request.program_id)
        if known is None:
            creation = held.commit([self._creation(template, request)])
            refused = await self._owner.run_apart(creation)
            known = held.table.find(request.program_id)
            if refused is not None or known is None:
                yield refused or NOT_FOUND
                return
        if known.created.template != request.template:
            detail = "a program of this name exists under another template"
            yield not_run(Reason.CONFLICT, detail)
            return
        yield program_details(known)

    async def _end(self, held: ServedTree, request: EndRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(held, request)
        if program is None:
            yield NOT_FOUND
            return
        refused = await end_program(self._ports, held, program, request.abandoned, request.reason)
        yield program_details(program) if refused is None else refused

    def _create_on_first_use(
        self, held: ServedTree, document: ClusterConfiguration, request: ModelCallRequest
    ) -> Program | Refused:
        """Create a program by its first call; it is committed with that call's intent."""
        if is_single_call(request.program_id) and not request.single_call:
            return NOT_FOUND
        template = find_template(document, request.tenant, document.default_template)
        if isinstance(template, Refused):
            return template
        record = self._creation(template, request)
        held.apply([record])
        held.uncommitted[request.program_id] = record
        program = held.table.find(request.program_id)
        return NOT_FOUND if program is None else program

    def _drop_if_unused(self, held: ServedTree, program: Program) -> None:
        unused = not program.waiting and program.active is None
        if unused and held.uncommitted.pop(program.program_id, None) is not None:
            held.table.drop_uncommitted(program.program_id)

    def _creation(
        self, template: TemplateSettings, request: CreateRequest | ModelCallRequest
    ) -> JournalRecord:
        now = self._ports.clock.wall()
        created: ProgramCreated = creation(template, request.tenant, request.program_id, now)
        return JournalRecord(program_created=created)

    # --- helpers -------------------------------------------------------------------------

    def _find(self, held: ServedTree, request: ProgramRequest) -> Program | None:
        program = held.table.find(request.program_id)
        return program if program is not None and program.tenant == request.tenant else None

    def _document(self) -> ClusterConfiguration | Refused:
        snapshot = self._ports.configuration.current()
        return snapshot if isinstance(snapshot, Refused) else snapshot.document

    def _template(
        self, request: CreateRequest | SpawnRequest, name: str
    ) -> TemplateSettings | Refused:
        document = self._document()
        if isinstance(document, Refused):
            return document
        return find_template(document, request.tenant, name)

    def _new_call_id(self) -> CallId:
        return CallId(self._ports.clock.identifier())

    def _plain_intent(
        self,
        program: Program,
        kind: "CallAdmitted.Kind.ValueType",
        target: str,
        key: str,
        parameters_json: str,
        repeatable: bool,
        tool_call_id: str = "",
        call_cost: float = 0.0,
    ) -> CallIntent:
        """Return the intent of a call without messages."""
        hashed = "" if kind == CallAdmitted.SPAWN else target
        return CallIntent(
            program_id=program.program_id,
            call_id=self._new_call_id(),
            kind=kind,
            target=target,
            repeatable=repeatable,
            messages=(),
            append=True,
            parameters_json=parameters_json,
            maximum_tokens=0,
            idempotency_key=key,
            request_hash=_hash(str(int(kind)), hashed, parameters_json, tool_call_id),
            cost_per_token=0.0,
            call_cost=call_cost,
            history_limit_bytes=self._ports.history_bytes,
            tool_call_id=tool_call_id,
        )


def _model_call_hash(request: ModelCallRequest) -> bytes:
    messages = (m.SerializeToString(deterministic=True).hex() for m in request.messages)
    append = str(request.append)
    limit = str(request.maximum_tokens)
    return _hash(request.model, append, limit, request.parameters_json, *messages)


def _hash(*parts: str) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(f"{len(part)}:".encode())
        digest.update(part.encode())
    return digest.digest()
