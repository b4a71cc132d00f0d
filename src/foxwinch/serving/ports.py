"""Ports of the serving package: calls to workers and the current routing state."""

from typing import Protocol

from foxwinch.core.routing.configuration import RoutingConfiguration
from foxwinch.core.routing.directory import Worker, WorkerDirectory
from foxwinch.serving.messages import (
    CallInterrupted,
    CallRefused,
    OutgoingCall,
    ProbeResult,
    WorkerResponse,
)


class Workers(Protocol):
    """Sends calls to workers."""

    async def call(
        self, worker: Worker, call: OutgoingCall
    ) -> WorkerResponse | CallRefused | CallInterrupted:
        """Send a call and return the response once its head has been received."""
        ...

    async def probe(self, worker: Worker, health_path: str, timeout_seconds: float) -> ProbeResult:
        """Return whether the worker still runs, from a request on a new connection."""
        ...


class RoutingView(Protocol):
    """Read access to the node's current routing state."""

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """Return the newest known configuration; None before the first one."""
        ...

    @property
    def directory(self) -> WorkerDirectory:
        """Return the directory of known workers."""
        ...

    def configuration_age_seconds(self) -> float:
        """Return the time since the configuration was last confirmed as the newest."""
        ...

    def workers_age_seconds(self) -> float:
        """Return the time since the worker list was last confirmed as the newest."""
        ...

    def workers_known_seconds(self) -> float:
        """Return the time since the worker list was first known, after the start of the node."""
        ...

    async def confirm_workers(self) -> bool:
        """Return whether the worker list is known as of a time after the call."""
        ...
