"""A configuration without a store to change it in, for one node without fellow nodes."""

from collections.abc import Callable

from foxwinch.configuration.ports import ConfigurationSnapshot
from foxwinch.identifiers import Revision
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration


class LocalConfiguration:
    """A configuration that never changes."""

    REVISION = Revision(1)

    def __init__(self, document: ClusterConfiguration) -> None:
        """Hold `document` as revision 1."""
        self._snapshot = ConfigurationSnapshot(self.REVISION, document)

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot."""
        return self._snapshot

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Accept a listener that will never be called."""
