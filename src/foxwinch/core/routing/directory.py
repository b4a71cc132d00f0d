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
RETURN_SECONDS = 2.0
"""Time after an outage of the store within which live workers restore their expired entries."""
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

    @property
    def incarnation(self) -> str:
        """Return a key that is unique to this incarnation: the id and the start time."""
        if self.started_ms is None:
            return self.worker_id
        return f"{self.worker_id}/{self.started_ms}"


class LastResort(NamedTuple):
    """Deadlines until which leaving workers may get work when there is no other worker."""

    draining_until: float
    gone_until: float


def last_resort_from(since: float) -> LastResort:
    """Return the deadlines for workers that may have started to leave at `since`."""
    until = since + LAST_RESORT_SECONDS
    return LastResort(until, until)


def last_resort_after_outage(since: float, now: float) -> LastResort:
    """Return the deadlines after a store outage from `since` to `now` in which entries expired."""
    return LastResort(since + LAST_RESORT_SECONDS, now + RETURN_SECONDS)


class _Known(NamedTuple):
    worker: Worker
    version: int
    """Version of the entry or of its removal."""
    last_resort_until: float | None = None
    """None unless the worker is leaving."""
    listed: bool = True
    """Whether the list has an entry for this worker."""


class WorkerDirectory:
    """The known workers; updates older than the known state are ignored."""

    def __init__(self) -> None:
        """Start with an empty directory."""
        self._known: dict[str, _Known] = {}
        self._at: dict[str, set[str]] = {}
        """Worker ids by address."""
        self._services: frozenset[str] | None = None
        self._version = 0

    @property
    def version(self) -> int:
        """Return the highest list version applied so far."""
        return self._version

    def name_services(self, services: Iterable[str]) -> None:
        """Set the configured services; entries of other services claim no address."""
        self._services = frozenset(services)

    def replace_all(
        self, workers: Iterable[tuple[Worker, int]], version: int, last_resort: LastResort
    ) -> bool:
        """Replace the directory by a full list as of `version`; return False if it is stale."""
        if version < self._version:
            return False
        listed = {worker.worker_id: (worker, row_version) for worker, row_version in workers}
        for worker_id in list(self._known):
            if worker_id not in listed:
                self.remove(worker_id, version, last_resort)
        for worker, row_version in listed.values():
            self.put(worker, row_version, last_resort)
        self._version = max(self._version, version)
        return True

    def put(self, worker: Worker, version: int, last_resort: LastResort) -> None:
        """Add or update one entry."""
        self._version = max(self._version, version)
        known = self._known.get(worker.worker_id)
        if known is not None and known.version > version:
            return
        until = None
        if worker.draining:
            same_life = known is not None and known.worker.incarnation == worker.incarnation
            until = _earlier(last_resort.draining_until, known if same_life else None)
        self._forget(worker.worker_id)
        self._known[worker.worker_id] = _Known(worker, version, until)
        self._at.setdefault(worker.address, set()).add(worker.worker_id)

    def remove(self, worker_id: str, version: int, last_resort: LastResort) -> None:
        """Record the removal of an entry."""
        self._leave(worker_id, version, last_resort.gone_until)

    def refuse(self, worker_id: str, version: int) -> None:
        """Reject an entry that describes no valid worker; its former worker gets no more work."""
        self._leave(worker_id, version, NEVER)

    def serving(self, service: str, now: float) -> list[Worker]:
        """Return the workers eligible for new work; leaving ones only if there is no other."""
        sound, leaving = [], []
        for known in self._known.values():
            if known.worker.service != service or self._displaced(known):
                continue
            if known.last_resort_until is None:
                sound.append(known.worker)
            elif now < known.last_resort_until:
                leaving.append(known.worker)
        return sound or leaving

    def all_workers(self) -> list[Worker]:
        """Return all workers that are not leaving."""
        return [known.worker for known in self._known.values() if known.last_resort_until is None]

    def forget_gone(self, now: float, after_seconds: float) -> list[str]:
        """Drop workers removed more than `after_seconds` ago and return their ids.

        A draining worker is kept while it is listed. If it were dropped and read again, it would
        count as one that has just started to leave.
        """
        gone = [
            worker_id
            for worker_id, known in self._known.items()
            if not known.listed
            and known.last_resort_until is not None
            and now - known.last_resort_until > after_seconds
        ]
        for worker_id in gone:
            self._forget(worker_id)
        return gone

    def _leave(self, worker_id: str, version: int, until: float) -> None:
        self._version = max(self._version, version)
        known = self._known.get(worker_id)
        if known is None or known.version > version:
            return
        until = _earlier(until, known)
        self._known[worker_id] = _Known(known.worker, version, until, listed=False)

    def _displaced(self, known: _Known) -> bool:
        """Return whether a newer entry of a configured service has the same address."""
        others = self._at[known.worker.address]
        if len(others) == 1:
            return False
        claims = (self._known[worker_id] for worker_id in others)
        return any(
            claim.listed
            and claim.version > known.version
            and (self._services is None or claim.worker.service in self._services)
            for claim in claims
        )

    def _forget(self, worker_id: str) -> None:
        known = self._known.pop(worker_id, None)
        if known is None:
            return
        others = self._at[known.worker.address]
        others.discard(worker_id)
        if not others:
            del self._at[known.worker.address]


def _earlier(until: float, known: _Known | None) -> float:
    """Return the earlier deadline; one that is already set is never extended."""
    if known is None or known.last_resort_until is None:
        return until
    return min(until, known.last_resort_until)
