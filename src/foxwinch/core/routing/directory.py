"""Which workers there are, as the shared store's list and this node's own calls tell.

Entries come with the version of the list. A worker that says that it drains, or that is gone from
the list, gets no new work but as a last resort within `LAST_RESORT_SECONDS`: such workers still
serve for a while, and the list loses entries of sound workers while the store is down.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

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


@dataclass(frozen=True, slots=True)
class _Known:
    worker: Worker
    version: int
    leaving_since: float | None = None


class WorkerDirectory:
    """Workers by service; a list older than what was seen changes nothing."""

    def __init__(self) -> None:
        """Start with nobody known."""
        self._known: dict[str, _Known] = {}
        self._removed: dict[str, int] = {}
        self._version = 0

    @property
    def version(self) -> int:
        """Return the highest version of the list that was applied."""
        return self._version

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
        self._drop_former(worker)
        self._known[worker.worker_id] = _Known(worker, version, leaving_since)

    def remove(self, worker_id: str, version: int, now: float) -> None:
        """Note that an entry is gone."""
        self._version = max(self._version, version)
        known = self._known.get(worker_id)
        if known is None or known.version > version or known.leaving_since is not None:
            return
        self._known[worker_id] = replace(known, version=version, leaving_since=now)

    def refuse(self, worker_id: str, version: int) -> None:
        """Note that an entry names no worker: one that it named before is not used any more."""
        self._version = max(self._version, version)
        known = self._known.get(worker_id)
        if known is not None and known.version <= version:
            self._known[worker_id] = replace(known, version=version, leaving_since=NEVER_AGAIN)

    def _drop_former(self, worker: Worker) -> None:
        """Forget whoever had this address before."""
        for worker_id, known in list(self._known.items()):
            if known.worker.address == worker.address and worker_id != worker.worker_id:
                del self._known[worker_id]

    def serving(self, service: str, now: float) -> list[Worker]:
        """Return the workers that new work may go to; leaving ones only when there is no other."""
        sound, leaving = [], []
        for known in self._known.values():
            if known.worker.service != service:
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
        """Drop workers that left more than `after_seconds` ago; returns their ids."""
        gone = [
            worker_id
            for worker_id, known in self._known.items()
            if known.leaving_since is not None and now - known.leaving_since > after_seconds
        ]
        for worker_id in gone:
            del self._known[worker_id]
        return gone
