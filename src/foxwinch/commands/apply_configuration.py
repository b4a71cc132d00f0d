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

ATTEMPTS = 5
"""With the waits below, an operator has an answer within about 20 s of a store that is down."""
ATTEMPT_BACKOFF = Backoff(base_seconds=0.2, cap_seconds=2.0)
TOKEN_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """An operator's change: a whole document in place of revision `expected`."""

    token: str
    """Chosen by the operator's client; sending a change again under it applies it once."""
    expected: Revision
    """The revision that the operator read; 0 proposes the first document."""
    document: ClusterConfiguration
    repeated: bool = False
    """True when the token was sent before: then nothing short of proof is called not run."""


@dataclass(frozen=True, slots=True)
class ApplyPorts:
    """What applying a change needs of the node."""

    clock: Clock
    store: ConfigurationStore
    load: Callable[[StoredHead], Awaitable[HeldConfiguration | Refused | None]]
    """Bring the node to the head and return what it holds; None when the table holds nothing."""


@dataclass(slots=True)
class _Progress:
    may_have_run: bool
    change: Change | None = None


async def apply_configuration(
    ports: ApplyPorts, command: ApplyConfiguration
) -> tuple[ChangeAccepted, Change | None] | Refused:
    """Accept a change, or refuse it truthfully.

    `CONFLICT` names the newer revision; `UNKNOWN` says that the same token must be sent again to
    learn what became of the change. The second value is the change when this run made it.
    """
    state = _check(command)
    if isinstance(state, Refused):
        return state
    progress = _Progress(may_have_run=command.repeated)
    failure: Refused | None = None
    for attempt in range(ATTEMPTS):
        outcome = await _attempt(ports, command, state, progress)
        if isinstance(outcome, ChangeAccepted):
            return outcome, progress.change
        if isinstance(outcome, ChangeRejected):
            return _conflict(command, outcome.newer)
        if outcome.reason in (Reason.INVALID_REQUEST, Reason.OUTCOME_UNKNOWN):
            return outcome
        failure = outcome
        wait = ATTEMPT_BACKOFF.wait_seconds(attempt, ports.clock.uniform())
        await ports.clock.sleep(max(wait, min(outcome.retry_after_seconds or 0.0, 2.0)))
    assert failure is not None
    if progress.may_have_run:
        detail = "the table did not say whether the change was accepted; send the token again"
        return outcome_unknown(Reason.STORE_UNAVAILABLE, detail)
    return not_run(Reason.STORE_UNAVAILABLE, failure.detail, failure.retry_after_seconds or 5.0)


def _check(command: ApplyConfiguration) -> DocumentState | Refused:
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
        return await _settled(ports, command, head, progress)
    if head.revision < command.expected:
        return ChangeRejected(head.revision)
    base = await ports.load(head)
    if isinstance(base, Refused):
        return base
    if (base.revision if base else 0) != command.expected:
        return not_run(Reason.CONFLICT, "the node does not hold the revision to build on", 0.1)
    change = _change(command, state, base)
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
    whole = None
    if change.base == 0 or change.revision % SNAPSHOT_REVISIONS == 0:
        whole = Change(
            change.revision, Revision(0), change.token, state.digest, Delta(state.entries)
        )
    outcome = await ports.store.commit(change, whole, head)
    if isinstance(outcome, Written):
        return ChangeAccepted(change.revision)
    if not isinstance(outcome, Refused):
        # A call that was delivered twice conflicts with itself: only the head's token tells.
        progress.may_have_run = True
        return not_run(Reason.CONFLICT, "the head has moved on", 0.0)
    progress.may_have_run |= outcome.run_state is not RunState.NOT_RUN
    return outcome


def _change(
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


async def _settled(
    ports: ApplyPorts, command: ApplyConfiguration, head: StoredHead, progress: _Progress
) -> ChangeAccepted | ChangeRejected | Refused:
    """The revision is taken: by this very change, or by another one."""
    target = Revision(command.expected + 1)
    token = await ports.store.read_token(target)
    if isinstance(token, Refused):
        return token
    outcome = resolve_outcome(command.token, target, head.revision, token)
    if isinstance(outcome, (ChangeAccepted, ChangeRejected)):
        return outcome
    if progress.may_have_run:
        detail = f"the row of revision {target} is no longer kept"
        return outcome_unknown(Reason.OUTCOME_UNKNOWN, detail)
    return ChangeRejected(head.revision)


def _conflict(command: ApplyConfiguration, newer: Revision) -> Refused:
    detail = f"revision {newer} is in force; the change was made for revision {command.expected}"
    return not_run(Reason.CONFLICT, detail)
