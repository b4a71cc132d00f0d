"""Origins of streams in the shared store, by the fingerprint of the request that began them.

All repetitions of a request share one row, so that any node finds how a stream began, whether its
caller names the request that delivered the first event or not. The row is changed only under its
version, and origins are only added, so a write that is applied late is harmless.
"""

from typing import NamedTuple

from google.protobuf.message import DecodeError

from foxwinch._generated.records_pb2 import BegunStreamsMessage, StreamOriginMessage
from foxwinch.clock import Clock
from foxwinch.core.routing.stream_origin import StreamOrigin
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import (
    ABSENT_VERSION,
    Conflict,
    RecordStore,
    RowCondition,
    RowKey,
    RowWrite,
    Written,
)
from foxwinch.records.retry import retry_until

STREAM_ORIGINS_TABLE = "streams"
MAX_ORIGINS = 16
"""Maximum number of origins in a row; a request is repeated a few times only."""
log = EventLog("stream_origins")


class BegunStream(NamedTuple):
    """A stream that a request has begun."""

    request_id: str
    origin: StreamOrigin


class _Row(NamedTuple):
    version: int
    streams: tuple[BegunStream, ...]


class StreamOriginRecords:
    """Reads and writes the origins of streams."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def write(
        self, fingerprint: str, stream: BegunStream, deadline_at: float
    ) -> Refused | None:
        """Add a stream to those of its request, and return None once that is committed."""
        known = _Row(ABSENT_VERSION, ())
        while True:
            row = known
            outcome = await retry_until(
                self._clock,
                deadline_at,
                lambda timeout_seconds, row=row: self._put(  # type: ignore[misc]
                    fingerprint, row, stream, timeout_seconds
                ),
            )
            if isinstance(outcome, Refused):
                return outcome
            if isinstance(outcome, Written):
                return None
            known = _decode(fingerprint, outcome)
            if stream in known.streams:
                return None

    async def _put(
        self, fingerprint: str, known: _Row, stream: BegunStream, timeout_seconds: float
    ) -> Written | Conflict | Refused:
        streams = (*known.streams, stream)[-MAX_ORIGINS:]
        condition = RowCondition(_row_key(fingerprint), known.version)
        write = RowWrite(_row_key(fingerprint), _encode(streams))
        return await self._store.transact((condition,), (write,), timeout_seconds)

    async def find(self, fingerprint: str, deadline_at: float) -> tuple[BegunStream, ...] | Refused:
        """Return the streams that repetitions of a request have begun, as far as they are stored.

        A transaction reads them, since a plain read may be stale.
        """
        condition = RowCondition(_row_key(fingerprint), ABSENT_VERSION)

        async def read(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        outcome = await retry_until(self._clock, deadline_at, read)
        if isinstance(outcome, Refused):
            return outcome
        return _decode(fingerprint, outcome).streams if isinstance(outcome, Conflict) else ()


def _row_key(fingerprint: str) -> RowKey:
    return RowKey(STREAM_ORIGINS_TABLE, partition_of(fingerprint), fingerprint)


def _encode(streams: tuple[BegunStream, ...]) -> bytes:
    origins = [
        StreamOriginMessage(
            request=request_id,
            service=origin.service,
            software_version=origin.software_version,
        )
        for request_id, origin in streams
    ]
    return BegunStreamsMessage(origins=origins).SerializeToString()


def _decode(fingerprint: str, conflict: Conflict) -> _Row:
    """Return the current row; one that is malformed counts as without streams."""
    for row in conflict.rows:
        if row.row.key != fingerprint or row.value is None:
            continue
        try:
            message = BegunStreamsMessage.FromString(row.value)
        except DecodeError as error:
            log.error("stream_origins_malformed", fingerprint=fingerprint, detail=str(error))
            return _Row(row.version, ())
        streams = tuple(
            BegunStream(each.request, StreamOrigin(each.service, each.software_version))
            for each in message.origins
        )
        return _Row(row.version, streams)
    return _Row(ABSENT_VERSION, ())
