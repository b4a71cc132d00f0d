"""The origin of a stream: the service and software version whose workers may continue it."""

from typing import NamedTuple

from foxwinch.core.routing.directory import Worker


class StreamOrigin(NamedTuple):
    """Service and software version of the worker that generated a stream's first event.

    The output of two software versions does not fit together, so only workers of the same service
    and version may continue the stream.
    """

    service: str
    software_version: str


def origin_of(worker: Worker) -> StreamOrigin:
    """Return the origin of streams that a worker begins."""
    return StreamOrigin(worker.service, worker.software_version)
