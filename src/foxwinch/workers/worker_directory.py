"""Base URLs of the workers, as the configuration in force names them."""

from foxwinch.configuration.ports import ConfigurationSnapshot, ConfigurationView
from foxwinch.identifiers import ToolName, WorkerId
from foxwinch.outcomes import Refused


class WorkerDirectory:
    """Finds a worker's base URL; empty until it follows a configuration."""

    def __init__(self) -> None:
        """Start empty."""
        self._urls: dict[str, str] = {}
        self._tool_urls: dict[str, tuple[str, ...]] = {}

    def follow(self, configuration: ConfigurationView) -> None:
        """Take the workers of every configuration that comes into force."""
        configuration.subscribe(self._take)
        snapshot = configuration.current()
        if not isinstance(snapshot, Refused):
            self._take(snapshot)

    def url_of(self, worker: WorkerId) -> str | None:
        """Return the base URL, or None for an unknown worker."""
        return self._urls.get(worker)

    def urls_of_tool(self, tool: ToolName) -> tuple[str, ...]:
        """Return the base URLs of the workers that serve a tool; none for an unknown tool."""
        return self._tool_urls.get(tool, ())

    def _take(self, snapshot: ConfigurationSnapshot) -> None:
        document = snapshot.document
        self._urls = {worker.name: worker.url for worker in document.workers}
        self._tool_urls = {
            tool.name: tuple(w.url for w in document.workers if w.pool == tool.pool)
            for tool in document.tools
        }
