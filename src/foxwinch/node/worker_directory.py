"""Base URLs of the workers, as the configuration in force names them."""

from foxwinch.identifiers import WorkerId
from foxwinch.node.interfaces import ConfigurationSnapshot, ConfigurationView
from foxwinch.outcomes import Refused


class WorkerDirectory:
    """Finds a worker's base URL; empty until it follows a configuration."""

    def __init__(self) -> None:
        """Start empty."""
        self._urls: dict[str, str] = {}

    def follow(self, configuration: ConfigurationView) -> None:
        """Take the workers of every configuration that comes into force."""
        configuration.subscribe(self._take)
        snapshot = configuration.current()
        if not isinstance(snapshot, Refused):
            self._take(snapshot)

    def url_of(self, worker: WorkerId) -> str | None:
        """Return the base URL, or None for an unknown worker."""
        return self._urls.get(worker)

    def _take(self, snapshot: ConfigurationSnapshot) -> None:
        self._urls = {worker.name: worker.url for worker in snapshot.document.workers}
