"""State of a program and its calls."""

from dataclasses import dataclass, field
from enum import StrEnum

from foxwinch._generated.journal_pb2 import (
    CallAdmitted,
    CallOutcome,
    HistoryMessage,
    ProgramCreated,
    ProgramFinished,
)
from foxwinch.core.program.budget import Amount, Ledger
from foxwinch.identifiers import CallId, ProgramId, TenantName


class CallState(StrEnum):
    """State of a call."""

    WAITING = "waiting"
    """Queued behind earlier calls of the program; not yet in the journal."""
    ADMITTED = "admitted"
    """The budget is reserved; the intent is being committed or the call waits for a worker."""
    GRANTED = "granted"
    """A coordinator has granted a worker."""
    RUNNING = "running"
    """The call is dispatched to a backend."""
    COMMITTING = "committing"
    """The backend has responded; the outcome is being committed."""
    FINISHED = "finished"
    """The call succeeded and its response is committed."""
    REFUSED = "refused"
    """The call ended without a response; `CallOutcome.result` states whether it ran."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """The call may have run and is never rerun."""


ENDED_STATES = frozenset({CallState.FINISHED, CallState.REFUSED, CallState.OUTCOME_UNKNOWN})

ALLOWED_TRANSITIONS: dict[CallState, frozenset[CallState]] = {
    CallState.ADMITTED: frozenset({CallState.GRANTED, CallState.RUNNING, CallState.COMMITTING}),
    CallState.GRANTED: frozenset({CallState.ADMITTED, CallState.RUNNING, CallState.COMMITTING}),
    CallState.RUNNING: frozenset({CallState.ADMITTED, CallState.COMMITTING}),
    CallState.COMMITTING: frozenset({CallState.COMMITTING}),
}
"""State transitions reported by call drivers. A retry returns to ADMITTED; end states are set by
journal records only."""

RESULT_STATES: dict[int, CallState] = {
    CallOutcome.SUCCEEDED: CallState.FINISHED,
    CallOutcome.FAILED_NOT_RUN: CallState.REFUSED,
    CallOutcome.FAILED_RAN: CallState.REFUSED,
    CallOutcome.FAILED_UNKNOWN: CallState.OUTCOME_UNKNOWN,
}


@dataclass(slots=True)
class Call:
    """A call whose intent is committed or being committed."""

    admitted: CallAdmitted
    state: CallState
    outcome: CallOutcome | None = None
    committed: bool = False
    """Whether the intent is in the journal."""

    @property
    def call_id(self) -> CallId:
        """Return the call id."""
        return CallId(self.admitted.call_id)

    @property
    def reserved(self) -> Amount:
        """Return the call's budget reservation."""
        return Amount.from_record(self.admitted.reserved)

    @property
    def may_retry(self) -> bool:
        """Whether the same request may be rerun after this call has ended."""
        if self.outcome is None or self.outcome.result == CallOutcome.SUCCEEDED:
            return False
        return self.admitted.repeatable or self.outcome.result == CallOutcome.FAILED_NOT_RUN


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call in its program's queue."""

    call_id: CallId
    idempotency_key: str
    request_hash: bytes


@dataclass(slots=True)
class Program:
    """A program with its history, budget, calls and position in the program tree."""

    created: ProgramCreated
    ledger: Ledger
    parent: "Program | None" = None
    children: list[ProgramId] = field(default_factory=list)
    history: list[HistoryMessage] = field(default_factory=list)
    history_tokens: int = 0
    """Upper bound on the tokens of the history; exact if an engine has counted them."""
    calls: dict[CallId, Call] = field(default_factory=dict)
    keys: dict[str, CallId] = field(default_factory=dict)
    waiting: dict[CallId, WaitingCall] = field(default_factory=dict)
    """Queued calls in order of arrival."""
    active: CallId | None = None
    """The single call that is admitted or being admitted and has no outcome yet."""
    last_signature: bytes = b""
    repeats: int = 0
    """Number of consecutive calls with `last_signature`."""
    last_active_seconds: float = 0.0
    """Wall time of the latest record."""
    service_seconds: float = 0.0
    """Engine service time received under the current owner."""
    finished: ProgramFinished | None = None

    @property
    def program_id(self) -> ProgramId:
        """Return the program id."""
        return ProgramId(self.created.program_id)

    @property
    def tenant(self) -> TenantName:
        """Return the program's tenant."""
        return TenantName(self.created.tenant)

    def lineage(self) -> list["Program"]:
        """Return the program and its ancestors, closest first."""
        found = [self]
        while found[-1].parent is not None:
            found.append(found[-1].parent)
        return found

    def ledgers(self) -> list[Ledger]:
        """Return the ledgers that the program's calls are charged to."""
        return [program.ledger for program in self.lineage()]
