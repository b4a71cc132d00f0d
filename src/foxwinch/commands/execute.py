"""Execute requests on programs that this node serves."""

import hashlib
from collections.abc import AsyncIterator

from foxwinch._generated.journal_pb2 import CallAdmitted, JournalRecord, ProgramCreated
from foxwinch.commands.call_lifecycle import CallLifecycle
from foxwinch.commands.call_settings import (
    creation_record,
    find_template,
    model_call_settings,
    tool_declaration,
)
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
from foxwinch.commands.views import ended_call_events, program_details, single_event
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import child_program_id, is_single_call
from foxwinch.core.program.requests import AlreadyEnded, AlreadyRunning, CallIntent
from foxwinch.core.program.state import Program
from foxwinch.identifiers import CallId, ProgramId
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.settings.cluster import ClusterConfiguration, TemplateSettings

MAX_WAITING_CALLS = 64
"""Limit on queued calls per program."""
WAITING_RETRY_SECONDS = 1.0
PROGRAM_NOT_FOUND = not_run(Reason.NOT_FOUND, "the program is not known")
CALL_NOT_FOUND = not_run(Reason.NOT_FOUND, "the call is not known")
NODE_DRAINING = not_run(
    Reason.DRAINING, "the node that serves the program is draining; another one takes over", 0.5
)
CALL_OUTCOME_PENDING = Refused(
    Reason.NOT_OWNER,
    RunState.UNKNOWN,
    "the program has moved to another node and the outcome of the call is not known yet",
    retry_after_seconds=1.0,
)
"""Returned for a known call whose driver has ended; another node may have committed its outcome."""


class ProgramExecutor:
    """Executes requests on the program trees that this node serves."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Execute with the ports of `owner`."""
        self._owner = owner
        self._ports = owner.ports

    def execute(self, tree: ServedTree, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Execute a request and iterate over its events."""
        match request:
            case ModelCallRequest():
                return self._model_call(tree, request)
            case ToolCallRequest():
                return self._tool_call(tree, request)
            case SpawnRequest():
                return self._spawn(tree, request)
            case CreateRequest():
                return self._create(tree, request)
            case EndRequest():
                return self._end(tree, request)
            case AttachRequest():
                return self._attach(tree, request)
            case HistoryRequest():
                return self._read(tree, request)

    async def _read(self, tree: ServedTree, request: HistoryRequest) -> AsyncIterator[ProgramEvent]:
        """Read a program after confirming that no other node has taken it over."""
        refused = await tree.confirm_read()
        if refused is not None:
            yield refused
            return
        program = self._find(tree, request)
        yield PROGRAM_NOT_FOUND if program is None else program_details(program)

    # --- calls ---------------------------------------------------------------------------

    def _model_call(
        self, tree: ServedTree, request: ModelCallRequest
    ) -> AsyncIterator[ProgramEvent]:
        document = self._document()
        if isinstance(document, Refused):
            return single_event(document)
        program = self._find(tree, request) or self._create_on_first_use(tree, document, request)
        if isinstance(program, Refused):
            return single_event(program)
        settings = model_call_settings(document, program, request.model)
        if isinstance(settings, Refused):
            self._drop_if_unused(tree, program)
            return single_event(settings)
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
            cost_per_token=settings.cost_per_token,
            call_cost=0.0,
            history_limit_bytes=self._ports.history_bytes,
        )
        submitted = self._submit(tree, program, intent, request.resume_offset)
        if not isinstance(submitted, RunningCall):
            return submitted
        lifecycle = CallLifecycle(self._ports, tree, submitted, is_single_call(program.program_id))
        driver = ModelCallDriver(self._ports, lifecycle, settings)
        self._owner.start_driver(submitted, driver.run(intent))
        return submitted.follow(request.resume_offset)

    def _tool_call(self, tree: ServedTree, request: ToolCallRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(tree, request)
        if program is None:
            return single_event(PROGRAM_NOT_FOUND)
        document = self._document()
        if isinstance(document, Refused):
            return single_event(document)
        declaration = tool_declaration(document, program, request.tool)
        if isinstance(declaration, Refused):
            return single_event(declaration)
        intent = self._intent_without_messages(
            program,
            CallAdmitted.TOOL,
            request.tool,
            request.idempotency_key,
            parameters_json=request.arguments_json,
            tool_call_id=request.tool_call_id,
            repeatable=declaration.repeatable,
            call_cost=declaration.settings.call_cost,
        )
        submitted = self._submit(tree, program, intent, 0)
        if not isinstance(submitted, RunningCall):
            return submitted
        driver = ToolCallDriver(
            self._ports, CallLifecycle(self._ports, tree, submitted), declaration.settings
        )
        self._owner.start_driver(submitted, driver.run(intent))
        return submitted.follow()

    def _spawn(self, tree: ServedTree, request: SpawnRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(tree, request)
        if program is None:
            return single_event(PROGRAM_NOT_FOUND)
        template = self._template(request, request.template or program.created.template)
        if isinstance(template, Refused):
            return single_event(template)
        child = child_program_id(program.program_id, self._ports.clock.identifier()[:12])
        intent = self._intent_without_messages(
            program,
            CallAdmitted.SPAWN,
            child,
            request.idempotency_key,
            parameters_json=template.name,
            repeatable=False,
        )
        submitted = self._submit(tree, program, intent, 0)
        if not isinstance(submitted, RunningCall):
            return submitted
        created = creation_record(
            template, program.tenant, child, self._ports.clock.wall(), parent=program
        )
        driver = SpawnDriver(self._ports, CallLifecycle(self._ports, tree, submitted), created)
        self._owner.start_driver(submitted, driver.run(intent))
        return submitted.follow()

    def _submit(
        self, tree: ServedTree, program: Program, intent: CallIntent, offset: int
    ) -> RunningCall | AsyncIterator[ProgramEvent]:
        """Queue a new call, or return the events of the call that has the same idempotency key."""
        if program.program_id in tree.ending_programs:
            detail = "the program is being finished or abandoned"
            return single_event(not_run(Reason.PROGRAM_FINISHED, detail))
        if len(program.waiting) >= MAX_WAITING_CALLS:
            detail = f"the program already has {MAX_WAITING_CALLS} waiting calls"
            return single_event(not_run(Reason.OVERLOADED, detail, WAITING_RETRY_SECONDS))
        found = tree.table.submit(
            program, intent.call_id, intent.idempotency_key, intent.request_hash
        )
        match found:
            case Refused():
                return single_event(found)
            case AlreadyRunning():
                return self._follow(tree, found.call_id, offset)
            case AlreadyEnded():
                child = tree.table.find(ProgramId(found.call.admitted.target))
                return ended_call_events(program, found.call, child, offset)
        if tree.draining:
            tree.table.withdraw(program, intent.call_id)
            self._drop_if_unused(tree, program)
            return single_event(NODE_DRAINING)
        return self._owner.open_call(tree, program, intent.call_id, intent.idempotency_key)

    def _attach(self, tree: ServedTree, request: AttachRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(tree, request)
        if program is None:
            return single_event(PROGRAM_NOT_FOUND)
        call = program.calls.get(request.call_id)
        if call is not None and call.outcome is not None:
            child = tree.table.find(ProgramId(call.admitted.target))
            return ended_call_events(program, call, child, request.offset)
        if call is not None or request.call_id in program.waiting:
            return self._follow(tree, request.call_id, request.offset)
        return single_event(CALL_NOT_FOUND)

    def _follow(
        self, tree: ServedTree, call_id: CallId, offset: int
    ) -> AsyncIterator[ProgramEvent]:
        running = tree.running.get(call_id)
        if running is None:
            return single_event(CALL_OUTCOME_PENDING)
        if running.rerun and offset > 0:
            detail = "the answer is being regenerated after a node failure: read from offset 0"
            return single_event(not_run(Reason.CONFLICT, detail))
        return running.follow(offset)

    # --- programs ------------------------------------------------------------------------

    async def _create(
        self, tree: ServedTree, request: CreateRequest
    ) -> AsyncIterator[ProgramEvent]:
        template = self._template(request, request.template)
        if isinstance(template, Refused):
            yield template
            return
        known = tree.table.find(request.program_id)
        if known is None:
            creation_commit = tree.commit([self._creation_record(template, request)])
            refused = await self._owner.run_shielded(creation_commit)
            known = tree.table.find(request.program_id)
            if refused is not None or known is None:
                yield refused or PROGRAM_NOT_FOUND
                return
        if known.created.template != request.template:
            detail = "a program with this name exists with another template"
            yield not_run(Reason.CONFLICT, detail)
            return
        yield program_details(known)

    async def _end(self, tree: ServedTree, request: EndRequest) -> AsyncIterator[ProgramEvent]:
        program = self._find(tree, request)
        if program is None:
            yield PROGRAM_NOT_FOUND
            return
        refused = await end_program(self._ports, tree, program, request.abandoned, request.reason)
        yield program_details(program) if refused is None else refused

    def _create_on_first_use(
        self, tree: ServedTree, document: ClusterConfiguration, request: ModelCallRequest
    ) -> Program | Refused:
        """Create a program implicitly; its creation is committed with the first call's intent."""
        if is_single_call(request.program_id) and not request.single_call:
            return PROGRAM_NOT_FOUND
        template = find_template(document, request.tenant, document.default_template)
        if isinstance(template, Refused):
            return template
        record = self._creation_record(template, request)
        tree.apply([record])
        tree.uncommitted_creations[request.program_id] = record
        program = tree.table.find(request.program_id)
        return PROGRAM_NOT_FOUND if program is None else program

    def _drop_if_unused(self, tree: ServedTree, program: Program) -> None:
        unused = not program.waiting and program.active is None
        if unused and tree.uncommitted_creations.pop(program.program_id, None) is not None:
            tree.table.drop_uncommitted(program.program_id)

    def _creation_record(
        self, template: TemplateSettings, request: CreateRequest | ModelCallRequest
    ) -> JournalRecord:
        now = self._ports.clock.wall()
        created: ProgramCreated = creation_record(template, request.tenant, request.program_id, now)
        return JournalRecord(program_created=created)

    # --- helpers -------------------------------------------------------------------------

    def _find(self, tree: ServedTree, request: ProgramRequest) -> Program | None:
        program = tree.table.find(request.program_id)
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

    def _intent_without_messages(
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
        hashed_target = "" if kind == CallAdmitted.SPAWN else target
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
            request_hash=_hash(str(int(kind)), hashed_target, parameters_json, tool_call_id),
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
