"""Static configuration for a single node without a store."""

from collections.abc import Callable

from foxwinch.configuration.ports import ConfigurationSnapshot
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration


class LocalConfiguration:
    """Implements `foxwinch.configuration.ports.ConfigurationView` for a fixed document."""

    REVISION = Revision(1)

    def __init__(self, document: ClusterConfiguration) -> None:
        """Serve `document` as revision 1."""
        self._snapshot = ConfigurationSnapshot(self.REVISION, document)

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the fixed snapshot."""
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Ignore the listener, since the configuration never changes."""
