"""Which workers there are, as the shared store's list and this node's own calls tell.

Entries come with the version of the list. A worker that says that it drains, or that is gone from
the list, gets no new work but as a last resort within `LAST_RESORT_SECONDS`: such workers still
serve for a while, and the list loses entries of sound workers while the store is down.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

LAST_RESORT_SECONDS = 1.0
"""For which a leaving worker may still be given work when a service has no other: well below the
two seconds after which a leaving worker must get none."""
NEVER_AGAIN = float("-inf")
"""Since when a worker is leaving that must not even be a last resort."""


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
    cold_seconds: float = 0.0
    """How much longer the worker stays slow after its start, when it was listed."""


class _Known(NamedTuple):
    worker: Worker
    version: int
    """Of the entry, or of its removal."""
    leaving_since: float | None = None
    listed: bool = True
    """Whether there is an entry that names this worker."""


class WorkerDirectory:
    """Workers by service; a list older than what was seen changes nothing."""

    def __init__(self) -> None:
        """Start with nobody known."""
        self._known: dict[str, _Known] = {}
        self._at: dict[str, set[str]] = {}
        """Ids by address."""
        self._services: frozenset[str] | None = None
        self._version = 0

    @property
    def version(self) -> int:
        """Return the highest version of the list that was applied."""
        return self._version

    def name_services(self, services: Iterable[str]) -> None:
        """Take the services in force: entries of others claim no address."""
        self._services = frozenset(services)

    def replace_all(self, workers: Iterable[tuple[Worker, int]], version: int, now: float) -> bool:
        """Take a whole list as of `version`; False when it is older than what is known."""
        if version < self._version:
            return False
        listed = {worker.worker_id: (worker, row_version) for worker, row_version in workers}
        for worker_id in list(self._known):
            if worker_id not in listed:
                self.remove(worker_id, version, now)
        for worker, row_version in listed.values():
            self.put(worker, row_version, now)
        self._version = max(self._version, version)
        return True

    def put(self, worker: Worker, version: int, now: float) -> None:
        """Take one entry."""
        self._version = max(self._version, version)
        known = self._known.get(worker.worker_id)
        if known is not None and known.version > version:
            return
        leaving_since = None
        if worker.draining:
            leaving_since = now
            if known is not None and known.leaving_since is not None:
                leaving_since = known.leaving_since
        self._forget(worker.worker_id)
        self._known[worker.worker_id] = _Known(worker, version, leaving_since)
        self._at.setdefault(worker.address, set()).add(worker.worker_id)

    def remove(self, worker_id: str, version: int, now: float) -> None:
        """Note that an entry is gone."""
        self._version = max(self._version, version)
        known = self._known.get(worker_id)
        if known is None or known.version > version:
            return
        leaving_since = now if known.leaving_since is None else min(now, known.leaving_since)
        self._known[worker_id] = _Known(known.worker, version, leaving_since, listed=False)

    def refuse(self, worker_id: str, version: int) -> None:
        """Note that an entry names no worker: one that it named before is not used any more."""
        self.remove(worker_id, version, NEVER_AGAIN)

    def serving(self, service: str, now: float) -> list[Worker]:
        """Return the workers that new work may go to; leaving ones only when there is no other."""
        sound, leaving = [], []
        for known in self._known.values():
            if known.worker.service != service or self._displaced(known):
                continue
            if known.leaving_since is None:
                sound.append(known.worker)
            elif now - known.leaving_since < LAST_RESORT_SECONDS:
                leaving.append(known.worker)
        return sound or leaving

    def all_workers(self) -> list[Worker]:
        """Return every worker that is listed and not leaving."""
        return [known.worker for known in self._known.values() if known.leaving_since is None]

    def forget_gone(self, now: float, after_seconds: float) -> list[str]:
        """Drop workers that left more than `after_seconds` ago; returns their ids.

        One that drains is kept while it is listed: read anew, it would pass for one that has just
        begun to leave.
        """
        gone = [
            worker_id
            for worker_id, known in self._known.items()
            if not known.listed
            and known.leaving_since is not None
            and now - known.leaving_since > after_seconds
        ]
        for worker_id in gone:
            self._forget(worker_id)
        return gone

    def _displaced(self, known: _Known) -> bool:
        """Tell whether a newer entry of a service in force names the same address."""
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
