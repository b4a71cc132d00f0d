"""Directory of known workers, built from the worker list in the shared store.

Entries carry the version of the list. A worker that is draining or was removed from the list gets
new work only as a last resort, within `LAST_RESORT_SECONDS`: such workers keep serving for a short
time, and entries of healthy workers expire while the store is down.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

LAST_RESORT_SECONDS = 1.0
"""Period in which a leaving worker may still get work when its service has no other. It is well
below the two seconds after which a leaving worker must get no work."""
RESTORE_SECONDS = 2.0
"""Time after an outage of the store within which live workers restore their expired entries."""
EVICT_WORKERS_SECONDS = 30.0
"""Time after which a removed worker is evicted from the directory."""
NEVER = float("-inf")
"""Last-resort deadline of a worker whose entry is rejected."""


@dataclass(frozen=True, slots=True)
class Worker:
    """One incarnation of a worker."""

    worker_id: str
    service: str
    address: str
    """`ip:port`."""
    zone: str
    slots: int
    draining: bool = False
    warmup_seconds: float = 0.0
    """Remaining warm-up time at the time of the listing."""
    started_ms: int | None = None
    """Unix time of its start if reported; a worker may restart under the same id."""
    software_version: str = ""

    @property
    def incarnation(self) -> str:
        """Return a key that is unique to this incarnation: the id and the start time."""
        if self.started_ms is None:
            return self.worker_id
        return f"{self.worker_id}/{self.started_ms}"


class LastResortDeadlines(NamedTuple):
    """Deadlines until which leaving workers may get work when there is no other worker."""

    draining_until: float
    removed_until: float


def last_resort_deadlines(since: float) -> LastResortDeadlines:
    """Return the deadlines for workers that may have started to leave at `since`."""
    deadline = since + LAST_RESORT_SECONDS
    return LastResortDeadlines(deadline, deadline)


def last_resort_deadlines_after_outage(since: float, now: float) -> LastResortDeadlines:
    """Return the deadlines after a store outage from `since` to `now` in which entries expired."""
    return LastResortDeadlines(since + LAST_RESORT_SECONDS, now + RESTORE_SECONDS)


class _Entry(NamedTuple):
    worker: Worker
    version: int
    """Version of the entry or of its removal."""
    last_resort_until: float | None = None
    """Time until which a leaving worker is a last resort; None for other workers."""
    listed: bool = True
    """Whether the list has an entry for this worker."""


class WorkerDirectory:
    """The known workers; updates older than the known state are ignored."""

    def __init__(self) -> None:
        """Start with an empty directory."""
        self._entries: dict[str, _Entry] = {}
        self._ids_by_address: dict[str, set[str]] = {}
        """Worker ids by address."""
        self._services: frozenset[str] | None = None
        self._version = 0

    @property
    def version(self) -> int:
        """Return the highest list version applied so far."""
        return self._version

    def set_services(self, services: Iterable[str]) -> None:
        """Set the configured services; entries of other services claim no address."""
        self._services = frozenset(services)

    def replace_all(
        self, workers: Iterable[tuple[Worker, int]], version: int, last_resort: LastResortDeadlines
    ) -> bool:
        """Replace the directory by a full list as of `version`; return False if it is stale."""
        if version < self._version:
            return False
        listed = {worker.worker_id: (worker, row_version) for worker, row_version in workers}
        for worker_id in list(self._entries):
            if worker_id not in listed:
                self.remove(worker_id, version, last_resort)
        for worker, row_version in listed.values():
            self.put(worker, row_version, last_resort)
        self._version = max(self._version, version)
        return True

    def put(self, worker: Worker, version: int, last_resort: LastResortDeadlines) -> None:
        """Add or update one entry."""
        self._version = max(self._version, version)
        entry = self._entries.get(worker.worker_id)
        if entry is not None and entry.version > version:
            return
        deadline = None
        if worker.draining:
            same_incarnation = entry is not None and entry.worker.incarnation == worker.incarnation
            deadline = _earlier_deadline(
                last_resort.draining_until, entry if same_incarnation else None
            )
        self._drop(worker.worker_id)
        self._entries[worker.worker_id] = _Entry(worker, version, deadline)
        self._ids_by_address.setdefault(worker.address, set()).add(worker.worker_id)

    def remove(self, worker_id: str, version: int, last_resort: LastResortDeadlines) -> None:
        """Record the removal of an entry."""
        self._mark_leaving(worker_id, version, last_resort.removed_until)

    def reject_entry(self, worker_id: str, version: int) -> None:
        """Reject an entry that describes no valid worker; its former worker gets no more work."""
        self._mark_leaving(worker_id, version, NEVER)

    def eligible_workers(
        self, service: str, now: float, software_version: str | None = None
    ) -> list[Worker]:
        """Return the workers eligible for new work; leaving ones only if there is no other.

        With `software_version`, only workers of that version count.
        """
        healthy, leaving = [], []
        for entry in self._entries.values():
            if entry.worker.service != service or self._is_displaced(entry):
                continue
            if software_version not in (None, entry.worker.software_version):
                continue
            if entry.last_resort_until is None:
                healthy.append(entry.worker)
            elif now < entry.last_resort_until:
                leaving.append(entry.worker)
        return healthy or leaving

    def listed_incarnation(self, worker_id: str) -> str | None:
        """Return the incarnation that the list has under an id, or None."""
        entry = self._entries.get(worker_id)
        return entry.worker.incarnation if entry is not None and entry.listed else None

    def known_workers(self) -> list[Worker]:
        """Return all workers in the directory, also those that are leaving or were removed."""
        return [entry.worker for entry in self._entries.values()]

    def all_workers(self) -> list[Worker]:
        """Return all workers that are not leaving."""
        return [entry.worker for entry in self._entries.values() if entry.last_resort_until is None]

    def evict_removed(self, now: float, after_seconds: float) -> list[str]:
        """Drop workers removed more than `after_seconds` ago and return their ids.

        A draining worker is kept while it is listed. If it were dropped and read again, it would
        count as one that has just started to leave.
        """
        removed = [
            worker_id
            for worker_id, entry in self._entries.items()
            if not entry.listed
            and entry.last_resort_until is not None
            and now - entry.last_resort_until > after_seconds
        ]
        for worker_id in removed:
            self._drop(worker_id)
        return removed

    def _mark_leaving(self, worker_id: str, version: int, deadline: float) -> None:
        self._version = max(self._version, version)
        entry = self._entries.get(worker_id)
        if entry is None or entry.version > version:
            return
        deadline = _earlier_deadline(deadline, entry)
        self._entries[worker_id] = _Entry(entry.worker, version, deadline, listed=False)

    def _is_displaced(self, entry: _Entry) -> bool:
        """Return whether a newer entry of a configured service has the same address."""
        worker_ids = self._ids_by_address[entry.worker.address]
        if len(worker_ids) == 1:
            return False
        other_entries = (self._entries[worker_id] for worker_id in worker_ids)
        return any(
            other.listed
            and other.version > entry.version
            and (self._services is None or other.worker.service in self._services)
            for other in other_entries
        )

    def _drop(self, worker_id: str) -> None:
        entry = self._entries.pop(worker_id, None)
        if entry is None:
            return
        worker_ids = self._ids_by_address[entry.worker.address]
        worker_ids.discard(worker_id)
        if not worker_ids:
            del self._ids_by_address[entry.worker.address]


def _earlier_deadline(deadline: float, entry: _Entry | None) -> float:
    """Return the earlier deadline; one that is already set is never extended."""
    if entry is None or entry.last_resort_until is None:
        return deadline
    return min(deadline, entry.last_resort_until)
