"""Grants issued by one coordinator and their leases.

A grant stays valid while its owner confirms it. It expires when it is not confirmed for
`LEASE_SECONDS` or when its owner is dead. The slot of an expired grant becomes free and the engine
is asked to cancel the call. Calls granted by an earlier coordinator of the same worker are foreign:
they occupy slots there, but nothing else is known about them.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxwinch.identifiers import CallId, Epoch, NodeId, ProgramId, WorkerId

LEASE_SECONDS = 10.0
"""Five times the confirmation period, so that a grant survives four consecutive lost reports."""


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """One grant."""

    call_id: CallId
    owner: NodeId
    sequence: int
    """Sequence number of the owner's request, because a call may be requested more than once."""
    worker: WorkerId
    epoch: Epoch
    program_id: ProgramId | None
    """Program of the call; None for a foreign call."""
    pool: str


class GrantLedger:
    """Grants by call, and foreign calls by owner and call."""

    def __init__(self) -> None:
        self._grants: dict[CallId, GrantRecord] = {}
        self._foreign: dict[tuple[NodeId, CallId], GrantRecord] = {}
        self._expires_at: dict[tuple[NodeId, CallId], float] = {}

    def __len__(self) -> int:
        """Return the number of active grants issued by this coordinator."""
        return len(self._grants)

    def find(self, call_id: CallId) -> GrantRecord | None:
        """Return the grant of a call, or None if it has none."""
        return self._grants.get(call_id)

    def worker_grants(self, worker: WorkerId) -> list[GrantRecord]:
        """Return the grants of a worker, excluding foreign calls."""
        return [record for record in self._grants.values() if record.worker == worker]

    def foreign_calls(self, worker: WorkerId) -> int:
        """Return the number of calls on a worker that an earlier coordinator granted."""
        return sum(record.worker == worker for record in self._foreign.values())

    def grant(self, record: GrantRecord, now: float) -> None:
        """Record a new grant and start its lease."""
        self._grants[record.call_id] = record
        self._expires_at[(record.owner, record.call_id)] = now + LEASE_SECONDS

    def confirm(
        self, owner: NodeId, call_id: CallId, sequence: int, worker: WorkerId, now: float
    ) -> None:
        """Renew the lease of a grant; one that is unknown here is recorded as foreign."""
        record = self._grants.get(call_id)
        if record is None or record.owner != owner or record.sequence != sequence:
            record = GrantRecord(call_id, owner, sequence, worker, Epoch(0), None, "")
            self._foreign[(owner, call_id)] = record
        self._expires_at[(owner, call_id)] = now + LEASE_SECONDS

    def end(self, owner: NodeId, call_id: CallId, sequence: int) -> GrantRecord | None:
        """Remove a grant that its owner has ended, and return it if it was issued here."""
        foreign = self._foreign.get((owner, call_id))
        if foreign is not None and foreign.sequence == sequence:
            del self._foreign[(owner, call_id)]
        record = self._grants.get(call_id)
        if record is None or record.owner != owner or record.sequence != sequence:
            return None
        return self._remove(record)

    def supersede(self, call_id: CallId) -> GrantRecord | None:
        """Remove the grant of a call that is requested again, and return it if there was one."""
        record = self._grants.get(call_id)
        return None if record is None else self._remove(record)

    def drop_worker(self, worker: WorkerId) -> list[GrantRecord]:
        """Remove and return the grants of a worker that is no longer held here."""
        self._foreign = {k: r for k, r in self._foreign.items() if r.worker != worker}
        return [self._remove(record) for record in self.worker_grants(worker)]

    def expire(self, is_present: Callable[[NodeId], bool], now: float) -> list[GrantRecord]:
        """Remove expired grants and foreign calls, and return the removed grants."""
        self._foreign = {
            key: record
            for key, record in self._foreign.items()
            if not self._is_expired(record, is_present, now)
        }
        due = [r for r in self._grants.values() if self._is_expired(r, is_present, now)]
        expired = [self._remove(record) for record in due]
        self._prune_leases([*self._grants.values(), *self._foreign.values()])
        return expired

    def _is_expired(
        self, record: GrantRecord, is_present: Callable[[NodeId], bool], now: float
    ) -> bool:
        expires_at = self._expires_at.get((record.owner, record.call_id), now)
        return now >= expires_at or not is_present(record.owner)

    def _remove(self, record: GrantRecord) -> GrantRecord:
        del self._grants[record.call_id]
        return record

    def _prune_leases(self, records: Iterable[GrantRecord]) -> None:
        live = {(record.owner, record.call_id) for record in records}
        self._expires_at = {key: at for key, at in self._expires_at.items() if key in live}
