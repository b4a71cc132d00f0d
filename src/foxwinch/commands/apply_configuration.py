"""Change the cluster configuration by compare-and-set on the revision that the operator read."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from foxwinch.clock import Clock
from foxwinch.configuration.store import (
    SNAPSHOT_REVISIONS,
    ConfigurationStore,
    StoredHead,
)
from foxwinch.core.configuration.change import (
    Change,
    ChangeAccepted,
    ChangeRejected,
    resolve_outcome,
)
from foxwinch.core.configuration.document import (
    Delta,
    DocumentState,
    InvalidDocument,
    build_document_state,
    compute_delta,
    split_entries,
)
from foxwinch.core.configuration.replica import HeldConfiguration
from foxwinch.core.limits.backoff import Backoff
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Reason, Refused, RunState, not_run, outcome_unknown
from foxwinch.records.ports import Written
from foxwinch.settings.cluster import ClusterConfiguration

MAX_ATTEMPTS = 5
"""Maximum number of attempts to commit a change.

With `RETRY_BACKOFF`, an operator gets a response within about 20 s while the store is down."""
RETRY_BACKOFF = Backoff(base_seconds=0.2, cap_seconds=2.0)
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """A request to replace revision `expected` of the configuration with a new document."""

    token: str
    """Idempotency token chosen by the operator's client."""
    expected: Revision
    """The revision that the operator read; 0 for the first document."""
    document: ClusterConfiguration
    repeated: bool = False
    """True for a token that was sent before; `not_run` is then reported only if it is proven."""


@dataclass(frozen=True, slots=True)
class ApplyPorts:
    """The dependencies of `apply_configuration`."""

    clock: Clock
    store: ConfigurationStore
    load: Callable[[StoredHead], Awaitable[HeldConfiguration | Refused | None]]
    """Bring the node up to the head; returns its configuration, or None when the table is empty."""


@dataclass(slots=True)
class _Progress:
    may_have_run: bool
    change: Change | None = None


async def apply_configuration(
    ports: ApplyPorts, command: ApplyConfiguration
) -> tuple[ChangeAccepted, Change | None] | Refused:
    """Commit a change by compare-and-set on the expected revision.

    `CONFLICT` names the newer revision. With run state `UNKNOWN`, the caller must send the same
    token again to learn the outcome. The second value is the change if this invocation made it.
    """
    state = _validate(command)
    if isinstance(state, Refused):
        return state
    progress = _Progress(may_have_run=command.repeated)
    failure: Refused | None = None
    for attempt in range(MAX_ATTEMPTS):
        outcome = await _attempt(ports, command, state, progress)
        if isinstance(outcome, ChangeAccepted):
            return outcome, progress.change
        if isinstance(outcome, ChangeRejected):
            return _conflict_refusal(command, outcome.newer)
        if outcome.reason in (Reason.INVALID_REQUEST, Reason.OUTCOME_UNKNOWN):
            return outcome
        failure = outcome
        wait = RETRY_BACKOFF.wait_seconds(attempt, ports.clock.uniform())
        await ports.clock.sleep(max(wait, min(outcome.retry_after_seconds or 0.0, 2.0)))
    assert failure is not None
    if progress.may_have_run:
        detail = "the store did not confirm whether the change was accepted; resend the same token"
        return outcome_unknown(Reason.STORE_UNAVAILABLE, detail)
    return not_run(Reason.STORE_UNAVAILABLE, failure.detail, failure.retry_after_seconds or 5.0)


def _validate(command: ApplyConfiguration) -> DocumentState | Refused:
    if not TOKEN_PATTERN.fullmatch(command.token):
        detail = "token: 8 to 64 letters, digits and hyphens are required"
        return not_run(Reason.INVALID_REQUEST, detail)
    state = build_document_state(split_entries(command.document))
    if isinstance(state, InvalidDocument):
        return not_run(Reason.INVALID_REQUEST, state.problem)
    return state


async def _attempt(
    ports: ApplyPorts, command: ApplyConfiguration, state: DocumentState, progress: _Progress
) -> ChangeAccepted | ChangeRejected | Refused:
    head = await ports.store.head()
    if isinstance(head, Refused):
        return head
    target = Revision(command.expected + 1)
    if head.revision >= target:
        return await _resolve_committed(ports, command, head, progress)
    if head.revision < command.expected:
        return ChangeRejected(head.revision)
    base = await ports.load(head)
    if isinstance(base, Refused):
        return base
    if (base.revision if base else 0) != command.expected:
        return not_run(Reason.CONFLICT, "the node does not have the expected base revision", 0.1)
    change = _build_change(command, state, base)
    if isinstance(change, (ChangeAccepted, Refused)):
        return change
    progress.change = change
    return await _commit(ports, change, state, head, progress)


async def _commit(
    ports: ApplyPorts,
    change: Change,
    state: DocumentState,
    head: StoredHead,
    progress: _Progress,
) -> ChangeAccepted | Refused:
    snapshot = None
    if change.base == 0 or change.revision % SNAPSHOT_REVISIONS == 0:
        snapshot = Change(
            change.revision, Revision(0), change.token, state.digest, Delta(state.entries)
        )
    outcome = await ports.store.commit(change, snapshot, head)
    if isinstance(outcome, Written):
        return ChangeAccepted(change.revision)
    if not isinstance(outcome, Refused):
        # A write that was delivered twice conflicts with itself; the head's token shows which
        # change was committed.
        progress.may_have_run = True
        return not_run(Reason.CONFLICT, "a newer revision was committed concurrently", 0.0)
    progress.may_have_run |= outcome.run_state is not RunState.NOT_RUN
    return outcome


def _build_change(
    command: ApplyConfiguration, state: DocumentState, base: HeldConfiguration | None
) -> Change | ChangeAccepted | Refused:
    target = Revision(command.expected + 1)
    if base is None:
        return Change(target, Revision(0), command.token, state.digest, Delta(state.entries))
    old = base.state.document
    if old.deployment != command.document.deployment or old.region != command.document.region:
        detail = "deployment and region: cannot be changed"
        return not_run(Reason.INVALID_REQUEST, detail)
    delta = compute_delta(base.state.entries, state.entries)
    if not delta.puts and not delta.deletes:
        return ChangeAccepted(command.expected)
    return Change(target, command.expected, command.token, state.digest, delta)


async def _resolve_committed(
    ports: ApplyPorts, command: ApplyConfiguration, head: StoredHead, progress: _Progress
) -> ChangeAccepted | ChangeRejected | Refused:
    """Determine whether the target revision was committed by this change or by another one."""
    target = Revision(command.expected + 1)
    token = await ports.store.read_token(target)
    if isinstance(token, Refused):
        return token
    outcome = resolve_outcome(command.token, target, head.revision, token)
    if isinstance(outcome, (ChangeAccepted, ChangeRejected)):
        return outcome
    if progress.may_have_run:
        detail = f"the row of revision {target} is no longer stored"
        return outcome_unknown(Reason.OUTCOME_UNKNOWN, detail)
    return ChangeRejected(head.revision)


def _conflict_refusal(command: ApplyConfiguration, newer: Revision) -> Refused:
    detail = f"revision {newer} is in force; the change was made for revision {command.expected}"
    return not_run(Reason.CONFLICT, detail)
