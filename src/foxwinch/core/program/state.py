"""The state of one program and of its calls."""

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
    """Where a call stands."""

    WAITING = "waiting"
    """Behind earlier calls of the same program; nothing of it is in the journal."""
    ADMITTED = "admitted"
    """Its budget is reserved and its intent is being committed, or it waits for a worker."""
    GRANTED = "granted"
    """A coordinator has granted a worker."""
    RUNNING = "running"
    """Dispatched to a back end."""
    COMMITTING = "committing"
    """The back end has answered; the outcome is being committed."""
    FINISHED = "finished"
    """Succeeded; the answer is committed."""
    REFUSED = "refused"
    """Ended without an answer; `CallOutcome.result` says whether it ran."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """May have run; never run again."""


ENDED_STATES = frozenset({CallState.FINISHED, CallState.REFUSED, CallState.OUTCOME_UNKNOWN})

ALLOWED_STEPS: dict[CallState, frozenset[CallState]] = {
    CallState.ADMITTED: frozenset({CallState.GRANTED, CallState.RUNNING, CallState.COMMITTING}),
    CallState.GRANTED: frozenset({CallState.ADMITTED, CallState.RUNNING, CallState.COMMITTING}),
    CallState.RUNNING: frozenset({CallState.ADMITTED, CallState.COMMITTING}),
    CallState.COMMITTING: frozenset({CallState.COMMITTING}),
}
"""Steps that a driver reports; a retry goes back to ADMITTED. Ends come from journal records."""

RESULT_STATES: dict[int, CallState] = {
    CallOutcome.SUCCEEDED: CallState.FINISHED,
    CallOutcome.FAILED_NOT_RUN: CallState.REFUSED,
    CallOutcome.FAILED_RAN: CallState.REFUSED,
    CallOutcome.FAILED_UNKNOWN: CallState.OUTCOME_UNKNOWN,
}


@dataclass(slots=True)
class Call:
    """One call whose intent is committed or being committed."""

    admitted: CallAdmitted
    state: CallState
    outcome: CallOutcome | None = None
    committed: bool = False
    """True once the journal holds the intent."""

    @property
    def call_id(self) -> CallId:
        """Return the call's identifier."""
        return CallId(self.admitted.call_id)

    @property
    def reserved(self) -> Amount:
        """Return what the call has reserved."""
        return Amount.from_record(self.admitted.reserved)

    @property
    def may_run_again(self) -> bool:
        """Tell whether the same request may be run anew although this call has ended."""
        if self.outcome is None or self.outcome.result == CallOutcome.SUCCEEDED:
            return False
        return self.admitted.repeatable or self.outcome.result == CallOutcome.FAILED_NOT_RUN


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits for its turn."""

    call_id: CallId
    idempotency_key: str
    request_hash: bytes


@dataclass(slots=True)
class Program:
    """One program: its history, budget, calls and place in a program tree."""

    created: ProgramCreated
    ledger: Ledger
    parent: "Program | None" = None
    children: list[ProgramId] = field(default_factory=list)
    history: list[HistoryMessage] = field(default_factory=list)
    history_tokens: int = 0
    """Upper bound of the tokens of the history; exact where an engine has counted it."""
    calls: dict[CallId, Call] = field(default_factory=dict)
    keys: dict[str, CallId] = field(default_factory=dict)
    waiting: dict[CallId, WaitingCall] = field(default_factory=dict)
    """In order of arrival."""
    active: CallId | None = None
    """The one call whose intent is committed or being committed and whose outcome is not."""
    last_signature: bytes = b""
    repeats: int = 0
    """How many calls in a row had `last_signature`."""
    last_active_seconds: float = 0.0
    """Wall time of the latest record."""
    service_seconds: float = 0.0
    """Engine service received under the present owner."""
    finished: ProgramFinished | None = None

    @property
    def program_id(self) -> ProgramId:
        """Return the program's identifier."""
        return ProgramId(self.created.program_id)

    @property
    def tenant(self) -> TenantName:
        """Return the tenant that the program belongs to."""
        return TenantName(self.created.tenant)

    def lineage(self) -> list["Program"]:
        """Return the program and its ancestors, nearest first."""
        found = [self]
        while found[-1].parent is not None:
            found.append(found[-1].parent)
        return found

    def ledgers(self) -> list[Ledger]:
        """Return the ledgers that a call of this program spends from."""
        return [program.ledger for program in self.lineage()]
