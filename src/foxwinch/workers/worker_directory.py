"""Base URLs of the workers in the active configuration."""

from foxwinch.configuration.ports import ConfigurationSnapshot, ConfigurationView
from foxwinch.identifiers import ToolName, WorkerId
from foxwinch.outcomes import Refused


class WorkerDirectory:
    """Base URLs by worker and by tool, empty until `follow` is called."""

    def __init__(self) -> None:
        self._urls: dict[str, str] = {}
        self._tool_urls: dict[str, tuple[str, ...]] = {}

    def follow(self, configuration: ConfigurationView) -> None:
        """Apply the workers of the current and every later configuration."""
        configuration.subscribe(self._apply)
        snapshot = configuration.current()
        if not isinstance(snapshot, Refused):
            self._apply(snapshot)

    def url_of(self, worker: WorkerId) -> str | None:
        """Return the base URL of a worker, or None if it is unknown."""
        return self._urls.get(worker)

    def urls_of_tool(self, tool: ToolName) -> tuple[str, ...]:
        """Return the base URLs of the workers that serve a tool, empty for an unknown tool."""
        return self._tool_urls.get(tool, ())

    def _apply(self, snapshot: ConfigurationSnapshot) -> None:
        document = snapshot.document
        self._urls = {worker.name: worker.url for worker in document.workers}
        self._tool_urls = {
            tool.name: tuple(w.url for w in document.workers if w.pool == tool.pool)
            for tool in document.tools
        }
