"""The grants that one coordinator has given, with their leases.

A grant lives while its owner confirms it. One that is not confirmed for `LEASE_SECONDS`, or whose
owner is dead, is void: its place is free and the engine is told to cancel the call. Calls that
owners hold from an earlier coordinator of the same worker are foreign: they take places there, but
nothing else is known of them.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxwinch.identifiers import CallId, Epoch, NodeId, ProgramId, WorkerId

LEASE_SECONDS = 10.0
"""Five times the period at which owners confirm: four lost reports in a row cost nothing."""


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """One grant."""

    call_id: CallId
    owner: NodeId
    sequence: int
    """Of the owner's ask; a call may be asked for again."""
    worker: WorkerId
    epoch: Epoch
    program_id: ProgramId | None
    """None for a foreign call."""
    pool: str


class GrantLedger:
    """Grants by call, and foreign calls by owner and call."""

    def __init__(self) -> None:
        """Start empty."""
        self._grants: dict[CallId, GrantRecord] = {}
        self._foreign: dict[tuple[NodeId, CallId], GrantRecord] = {}
        self._expires_at: dict[tuple[NodeId, CallId], float] = {}

    def __len__(self) -> int:
        """Return the number of grants given here and not yet over."""
        return len(self._grants)

    def find(self, call_id: CallId) -> GrantRecord | None:
        """Return the grant of a call."""
        return self._grants.get(call_id)

    def on_worker(self, worker: WorkerId) -> list[GrantRecord]:
        """Return the grants of a worker, foreign ones not among them."""
        return [record for record in self._grants.values() if record.worker == worker]

    def foreign_calls(self, worker: WorkerId) -> int:
        """Count the calls that run on a worker under grants of an earlier coordinator."""
        return sum(record.worker == worker for record in self._foreign.values())

    def grant(self, record: GrantRecord, now: float) -> None:
        """Take in a grant that is being given."""
        self._grants[record.call_id] = record
        self._expires_at[(record.owner, record.call_id)] = now + LEASE_SECONDS

    def confirm(
        self, owner: NodeId, call_id: CallId, sequence: int, worker: WorkerId, now: float
    ) -> None:
        """Take in that an owner still holds a grant, one of an earlier coordinator included."""
        record = self._grants.get(call_id)
        if record is None or record.owner != owner or record.sequence != sequence:
            record = GrantRecord(call_id, owner, sequence, worker, Epoch(0), None, "")
            self._foreign[(owner, call_id)] = record
        self._expires_at[(owner, call_id)] = now + LEASE_SECONDS

    def end(self, owner: NodeId, call_id: CallId, sequence: int) -> GrantRecord | None:
        """Remove a grant that is given back; returns it when it was given here."""
        foreign = self._foreign.get((owner, call_id))
        if foreign is not None and foreign.sequence == sequence:
            del self._foreign[(owner, call_id)]
        record = self._grants.get(call_id)
        if record is None or record.owner != owner or record.sequence != sequence:
            return None
        return self._remove(record)

    def supersede(self, call_id: CallId) -> GrantRecord | None:
        """Remove whatever grant a call has, because it is asked for again."""
        record = self._grants.get(call_id)
        return None if record is None else self._remove(record)

    def drop_worker(self, worker: WorkerId) -> list[GrantRecord]:
        """Remove and return the grants of a worker that is gone or another coordinator's."""
        self._foreign = {k: r for k, r in self._foreign.items() if r.worker != worker}
        return [self._remove(record) for record in self.on_worker(worker)]

    def expire(self, is_present: Callable[[NodeId], bool], now: float) -> list[GrantRecord]:
        """Remove and return the void grants given here; foreign ones only go."""
        self._foreign = {
            key: record
            for key, record in self._foreign.items()
            if not self._is_void(record, is_present, now)
        }
        void = [r for r in self._grants.values() if self._is_void(r, is_present, now)]
        expired = [self._remove(record) for record in void]
        self._forget_leases([*self._grants.values(), *self._foreign.values()])
        return expired

    def _is_void(
        self, record: GrantRecord, is_present: Callable[[NodeId], bool], now: float
    ) -> bool:
        expires_at = self._expires_at.get((record.owner, record.call_id), now)
        return now >= expires_at or not is_present(record.owner)

    def _remove(self, record: GrantRecord) -> GrantRecord:
        del self._grants[record.call_id]
        return record

    def _forget_leases(self, records: Iterable[GrantRecord]) -> None:
        live = {(record.owner, record.call_id) for record in records}
        self._expires_at = {key: at for key, at in self._expires_at.items() if key in live}
