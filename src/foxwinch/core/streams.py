"""Framing of server-sent events in a worker's stream.

An event may arrive in chunks and may be truncated. Only complete events are forwarded, so that a
stream can be resumed at another worker after the last forwarded event.
"""

from dataclasses import dataclass

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event; a worker that sends a longer one is faulty."""
MAX_ID_DIGITS = 18
"""Maximum length of an event id; a longer one does not fit into 64 bits."""
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
    is_malformed: bool = False
    """Whether its id is not a number of at most `MAX_ID_DIGITS`."""


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
    is_malformed = False
    data: list[bytes] = []
    for line in block.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            is_malformed = not text.isdigit() or len(text) > MAX_ID_DIGITS
            event_id = None if is_malformed else int(text)
        elif line.startswith(_DATA):
            data.append(_strip_leading_space(line[len(_DATA) :]))
    return StreamEvent(block + EVENT_END, event_id, b"\n".join(data), is_malformed)


def _strip_leading_space(value: bytes) -> bytes:
    return value[1:] if value.startswith(b" ") else value


class EventSequence:
    """The order of a stream's events, by which a worker that skips or repeats some is found out.

    Ids mostly count the events. In a stream whose first id is another one, they need only rise, and
    nothing tells whether a worker that resumes it skips events.
    """

    def __init__(self, last_id: int | None) -> None:
        """Expect the events after `last_id`, or those of a stream from its start."""
        self._last_id = last_id
        self._is_counting: bool | None = None

    @property
    def is_resumable(self) -> bool:
        """Whether another worker's events can be checked against those before."""
        return self._is_counting is not False

    def accept(self, event: StreamEvent) -> bool:
        """Return whether an event may follow those before it."""
        if event.is_malformed:
            return False
        if event.event_id is None:
            return True
        is_next = event.event_id == (self._last_id or 0) + 1
        if self._is_counting is None:
            self._is_counting = is_next or (self._last_id is None and event.event_id == 0)
        elif self._is_counting and not is_next:
            return False
        if self._last_id is not None and event.event_id <= self._last_id:
            return False
        self._last_id = event.event_id
        return True
