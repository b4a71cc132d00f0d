"""Interface of the configuration for the other components of a node."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import Revision
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """A cluster configuration with its revision."""

    revision: Revision
    document: ClusterConfiguration


class ConfigurationView(Protocol):
    """The active configuration of this node, which never reverts to an older revision."""

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot, or `STALE_CONFIGURATION` if a newer revision is known."""
        ...

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Call `listener` with every newer snapshot."""
        ...
