"""Framing of server-sent events in a worker's stream.

An event may arrive in chunks and may be truncated. Only complete events are forwarded, so that a
stream can be resumed at another worker after the last forwarded event.
"""

from dataclasses import dataclass

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a worker that sends a longer one is faulty."""
_ID = b"id:"
_DATA = b"data:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event."""

    raw: bytes
    """The bytes as sent by the worker, including the terminating empty line."""
    event_id: int | None
    data: bytes
    """The data lines, joined by line feeds."""


class EventFramer:
    """An incremental parser that splits bytes into complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b""

    @property
    def pending(self) -> bool:
        """Whether the buffer contains an incomplete event."""
        return bool(self._buffer)

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are now complete."""
        complete_events, separator, self._buffer = (self._buffer + data).rpartition(EVENT_END)
        if not separator:
            return []
        return [_parse(block) for block in complete_events.split(EVENT_END) if block.strip(b"\n")]


def _parse(block: bytes) -> StreamEvent:
    event_id: int | None = None
    data: list[bytes] = []
    for line in block.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            event_id = int(text) if text.isdigit() else None
        elif line.startswith(_DATA):
            data.append(_strip_leading_space(line[len(_DATA) :]))
    return StreamEvent(block + EVENT_END, event_id, b"\n".join(data))


def _strip_leading_space(value: bytes) -> bytes:
    return value[1:] if value.startswith(b" ") else value
