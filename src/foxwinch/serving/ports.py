"""Ports of the serving side: workers, and the configuration and workers in force."""

from typing import Protocol

from foxwinch.core.routing.configuration import RoutingConfiguration
from foxwinch.core.routing.directory import Worker, WorkerDirectory
from foxwinch.serving.messages import CallInterrupted, CallRefused, OutgoingCall, WorkerResponse


class Workers(Protocol):
    """Sends calls to workers."""

    async def call(
        self, worker: Worker, call: OutgoingCall
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        """Send a call and wait for the head of its answer."""
        ...


class RoutingView(Protocol):
    """What is in force at this node."""

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the newest configuration that is known; None before the first."""
        ...

    @property
    def directory(self) -> WorkerDirectory:
        """Return the workers that are known."""
        ...

    def configuration_age_seconds(self) -> float:
        """Return how long ago the configuration was last confirmed to be the newest."""
        ...

    def workers_age_seconds(self) -> float:
        """Return how long ago the list of workers was last confirmed to be the newest."""
        ...
