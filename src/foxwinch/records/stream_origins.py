"""Origins of streams in the shared store, by the id of the request that delivered the first event.

An origin is written once and never changed, so a write that is applied late is harmless.
"""

from google.protobuf.message import DecodeError

from foxwinch._generated.records_pb2 import StreamOriginMessage
from foxwinch.clock import Clock
from foxwinch.core.routing.stream_origin import StreamOrigin
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import Conflict, RecordStore, RowCondition, RowKey, RowWrite, Written
from foxwinch.records.retry import retry_until

STREAM_ORIGINS_TABLE = "streams"
log = EventLog("stream_origins")


class StreamOriginRecords:
    """Reads and writes the origins of streams."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def write(
        self, request_id: str, origin: StreamOrigin, deadline_at: float
    ) -> Refused | None:
        """Store an origin and return None once it is committed."""
        value = StreamOriginMessage(
            service=origin.service, software_version=origin.software_version
        ).SerializeToString()
        writes = (RowWrite(_row_key(request_id), value),)
        outcome = await retry_until(
            self._clock,
            deadline_at,
            lambda timeout_seconds: self._store.transact((), writes, timeout_seconds),
        )
        return outcome if isinstance(outcome, Refused) else None

    async def find(self, request_id: str, deadline_at: float) -> StreamOrigin | Refused | None:
        """Return the origin of a stream, or None if it is certainly not stored.

        A transaction reads it, since a plain read may be stale.
        """
        condition = RowCondition(_row_key(request_id), 0)

        async def read(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (), timeout_seconds)

        outcome = await retry_until(self._clock, deadline_at, read)
        if isinstance(outcome, Refused):
            return outcome
        return _decode(request_id, outcome) if isinstance(outcome, Conflict) else None


def _row_key(request_id: str) -> RowKey:
    return RowKey(STREAM_ORIGINS_TABLE, partition_of(request_id), request_id)


def _decode(request_id: str, conflict: Conflict) -> StreamOrigin | None:
    for row in conflict.rows:
        if row.row.key != request_id or row.value is None:
            continue
        try:
            message = StreamOriginMessage.FromString(row.value)
        except DecodeError as error:
            log.error("stream_origin_malformed", request=request_id, detail=str(error))
            return None
        return StreamOrigin(message.service, message.software_version)
    return None
