"""Server-sent events of a worker's stream, cut into whole events.

An event may arrive in pieces and may be cut off in the middle. Only whole events are passed on, so
that a stream can go on at another worker after the last one.
"""

from dataclasses import dataclass

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 4 * 1024 * 1024
_ID = b"id:"
_DATA = b"data:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event."""

    raw: bytes
    """As the worker sent it, with the empty line at its end."""
    event_id: int | None
    data: bytes
    """The data lines, joined by line feeds."""


class EventFramer:
    """Cuts bytes into whole events; `pending` tells whether part of one is left."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b""

    @property
    def pending(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes and return the events that are whole now."""
        whole, separator, self._rest = (self._rest + data).rpartition(EVENT_END)
        if not separator:
            return []
        return [_parse(block) for block in whole.split(EVENT_END) if block.strip(b"\n")]


def _parse(block: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[bytes] = []
    for line in block.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            event_id = int(text) if text.isdigit() else None
        elif line.startswith(_DATA):
            data.append(_without_space(line[len(_DATA) :]))
    return StreamEvent(block + EVENT_END, event_id, b"\n".join(data))


def _without_space(value: bytes) -> bytes:
    return value[1:] if value.startswith(b" ") else value
