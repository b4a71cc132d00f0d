"""Current configuration and workers of a node, updated by watches of the shared store."""

from collections import Counter
from collections.abc import Callable, Iterable

from foxwinch.clock import Clock
from foxwinch.core.routing.configuration import RoutingConfiguration
from foxwinch.core.routing.directory import (
    EVICT_WORKERS_SECONDS,
    LastResortDeadlines,
    Worker,
    WorkerDirectory,
    last_resort_deadlines,
    last_resort_deadlines_after_outage,
)
from foxwinch.log import EventLog
from foxwinch.records.ports import RecordStore, RowsRead, StoredRow
from foxwinch.records.watch import WAIT_SECONDS, TableWatch
from foxwinch.serving.metrics import ServingMetrics

MAX_LOGGED_VERSIONS = 8
"""Maximum number of software versions in one log line."""
EXPIRY_SECONDS = 3.6
"""Default time to live of a worker's entry: three heartbeat intervals."""
log = EventLog("routing")


class RoutingTables:
    """Holds the newest configuration and the list of workers."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        metrics: ServingMetrics,
        *,
        configuration_table: str,
        configuration_key: str,
        workers_table: str,
        decode_configuration: Callable[[StoredRow], RoutingConfiguration | None],
        decode_worker: Callable[[StoredRow], Worker | None],
        wait_seconds: float = WAIT_SECONDS,
        expiry_seconds: float = EXPIRY_SECONDS,
    ) -> None:
        """Create the tables; the decoders return None for rows that are not usable.

        The store holds each watch call open for `wait_seconds` and drops entries that were not
        renewed for `expiry_seconds`.
        """
        self._clock = clock
        self._metrics = metrics
        self._decode_configuration = decode_configuration
        self._decode_worker = decode_worker
        self._expiry_seconds = expiry_seconds
        self._configuration: RoutingConfiguration | None = None
        self._directory = WorkerDirectory()
        self.configuration_watch = TableWatch(
            store,
            clock,
            configuration_table,
            self._on_configuration_rows,
            wait_seconds,
            (configuration_key,),
        )
        self.workers_watch = TableWatch(
            store, clock, workers_table, self._on_worker_rows, wait_seconds
        )
        for watch in (self.configuration_watch, self.workers_watch):
            metrics.watch_age_seconds.labels(watch.table).set_function(watch.age_seconds)

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the newest known configuration; None before the first one."""
        return self._configuration

    @property
    def directory(self) -> WorkerDirectory:
        """Return the directory of known workers."""
        return self._directory

    def configuration_age_seconds(self) -> float:
        """Return the time since the configuration was last confirmed as the newest."""
        return self.configuration_watch.age_seconds()

    def workers_age_seconds(self) -> float:
        """Return the time since the worker list was last confirmed as the newest."""
        return self.workers_watch.age_seconds()

    def workers_known_seconds(self) -> float:
        """Return the time since the worker list was first known, after the start of the node."""
        return self.workers_watch.known_seconds()

    async def confirm_workers(self) -> bool:
        """Return whether the worker list is known as of a time after the call."""
        return await self.workers_watch.confirm()

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and workers are known, so that requests can be served."""
        return self._configuration is not None and bool(self._directory.all_workers())

    def activate(self, configuration: RoutingConfiguration, source: str) -> None:
        """Apply a configuration unless the current one is the same version or newer."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._directory.set_services(configuration.services)
        self._metrics.configuration_version.set(configuration.version)
        log.info(
            "configuration_in_force",
            version=configuration.version,
            before=current.version if current is not None else None,
            source=source,
            routes=len(configuration.routes),
        )

    def _on_configuration_rows(self, read: RowsRead, is_full: bool) -> None:
        for row in read.rows:
            configuration = self._decode_configuration(row)
            if configuration is not None:
                self.activate(configuration, "store")

    def _on_worker_rows(self, read: RowsRead, is_full: bool) -> None:
        last_resort = self._last_resort_deadlines()
        for malformed in read.malformed_rows:
            self._directory.reject_entry(malformed.key, malformed.version)
        listed: list[tuple[Worker, int]] = []
        for row in read.rows:
            if row.value is None:
                self._directory.remove(row.row.key, row.version, last_resort)
                log.info("worker_gone", worker=row.row.key, list_version=row.version)
                continue
            worker = self._decode_worker(row)
            if worker is None:
                self._directory.reject_entry(row.row.key, row.version)
                continue
            if is_full:
                listed.append((worker, row.version))
            else:
                self._put_worker(worker, row.version, last_resort)
        if is_full:
            self._directory.replace_all(listed, read.version, last_resort)
            log.info(
                "workers_listed",
                count=len(listed),
                software=_count_software_versions([worker for worker, _ in listed]),
                list_version=read.version,
            )
        self._directory.evict_removed(self._clock.monotonic(), EVICT_WORKERS_SECONDS)

    def _last_resort_deadlines(self) -> LastResortDeadlines:
        """Return the last-resort deadlines for workers that the current update shows as leaving."""
        now = self._clock.monotonic()
        since = self.workers_watch.changes_since
        if now - self._expiry_seconds < since:
            return last_resort_deadlines(since)
        return last_resort_deadlines_after_outage(since, now)

    def _put_worker(self, worker: Worker, version: int, last_resort: LastResortDeadlines) -> None:
        self._directory.put(worker, version, last_resort)
        log.info(
            "worker_listed",
            worker=worker.worker_id,
            service=worker.service,
            software=worker.software_version,
            draining=worker.draining,
            started_ms=worker.started_ms,
            list_version=version,
        )


def _count_software_versions(workers: Iterable[Worker]) -> str:
    """Return the number of workers of each service and software version, most workers first."""
    counts = Counter((worker.service, worker.software_version) for worker in workers)
    return ",".join(
        f"{service}/{software}:{count}"
        for (service, software), count in counts.most_common(MAX_LOGGED_VERSIONS)
    )
