"""What other parts of a node ask of its configuration."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import Revision
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """A cluster configuration and the revision it was accepted under."""

    revision: Revision
    document: ClusterConfiguration


class ConfigurationView(Protocol):
    """The configuration in force at this node; never moves to an older revision."""

    def current(self) -> ConfigurationSnapshot | Refused:
        """Return the snapshot, or `STALE_CONFIGURATION` when a newer one is known but not held."""
        ...

    def subscribe(self, listener: Callable[[ConfigurationSnapshot], None]) -> None:
        """Call `listener` with every newer snapshot."""
        ...
