"""Sends that are stored before they are made, for the time in which no witness remembers.

After all nodes have lost their memory at once, witnesses know only what they were told since. A
send is then stored as well, so that a second such loss forgets none. Each row holds one send; it is
removed some time after the send is over. Rows are partitioned by the first digit of the
fingerprint, as the ranges that nodes hand over are.
"""

import asyncio
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError

from foxwinch._generated.crashes_pb2 import StartedSendMessage
from foxwinch.clock import Clock
from foxwinch.core.records.open_sends import KEPT_SECONDS, RANGES
from foxwinch.log import EventLog
from foxwinch.outcomes import Refused
from foxwinch.records.ports import RecordStore, RowKey, RowsRead, RowWrite
from foxwinch.records.retry import CALL_TIMEOUT_SECONDS
from foxwinch.service_tasks import ServiceTasks

SENDS_TABLE = "sends"
BATCH_ROWS = 50
"""Maximum number of rows that one transaction adds, and of those that it removes."""
READ_RETRY_SECONDS = 0.1
END_KEY = "g"
"""Key above those of all rows, which begin with a hexadecimal digit."""
log = EventLog("send_records")


@dataclass(slots=True)
class _Partition:
    """The writes of this node to one partition."""

    added: list[tuple[RowWrite, asyncio.Future[bool]]] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    """Keys of the rows whose sends are over."""
    is_writing: bool = False


class SendRecords:
    """Writes the sends of this node, and reads those of all nodes after a start."""

    def __init__(self, store: RecordStore, clock: Clock, tasks: ServiceTasks) -> None:
        """Use `store`; writes run as `tasks`, also when their callers leave."""
        self._store = store
        self._clock = clock
        self._tasks = tasks
        self._partitions = [_Partition() for _ in range(RANGES)]

    async def add(self, send: StartedSendMessage, timeout_seconds: float) -> bool:
        """Store a send; return whether that is committed in time."""
        partition = self._partitions[send.fingerprint[0] >> 4]
        added: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        row = RowKey(SENDS_TABLE, _partition_name(send.fingerprint[0] >> 4), _key_of(send))
        partition.added.append((RowWrite(row, send.SerializeToString()), added))
        self._start_writing(send.fingerprint[0] >> 4)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await added
        except TimeoutError:
            return False

    def remove(self, send: StartedSendMessage) -> None:
        """Remove the row of a send that is over, with one of the next writes."""
        self._partitions[send.fingerprint[0] >> 4].removed.append(_key_of(send))

    def _start_writing(self, number: int) -> None:
        partition = self._partitions[number]
        if not partition.is_writing:
            partition.is_writing = True
            self._tasks.start(self._write(number))

    async def _write(self, number: int) -> None:
        """Write what waits, in batches; a refused batch is not tried again."""
        partition = self._partitions[number]
        while partition.added:
            added, partition.added = partition.added[:BATCH_ROWS], partition.added[BATCH_ROWS:]
            removed = partition.removed[:BATCH_ROWS]
            writes = [write for write, _ in added]
            keys = {write.row.key for write in writes}
            name = _partition_name(number)
            writes += [
                RowWrite(RowKey(SENDS_TABLE, name, key), None)
                for key in dict.fromkeys(removed)
                if key not in keys
            ]
            outcome = await self._store.transact((), tuple(writes), CALL_TIMEOUT_SECONDS)
            is_written = not isinstance(outcome, Refused)
            if is_written:
                partition.removed = partition.removed[len(removed) :]
            for _, future in added:
                if not future.done():
                    future.set_result(is_written)
        partition.is_writing = False

    async def read(self, min_version: int) -> list[StartedSendMessage]:
        """Return the stored sends as of a version of the store or later; tries until it succeeds.

        Rows that are older than witnesses keep sends are removed.
        """
        sends: list[StartedSendMessage] = []
        for number in range(RANGES):
            sends += await self._read_partition(number, min_version)
        return sends

    async def _read_partition(self, number: int, min_version: int) -> list[StartedSendMessage]:
        sends: list[StartedSendMessage] = []
        name, start = _partition_name(number), ""
        while True:
            first = RowKey(SENDS_TABLE, name, start)
            read = await self._store.read(first, END_KEY, CALL_TIMEOUT_SECONDS)
            if not isinstance(read, RowsRead) or read.version < min_version:
                await self._clock.sleep(READ_RETRY_SECONDS)
                continue
            for row in read.rows:
                send = _decode(row.row.key, row.value)
                if send is None or send.sent_ms + 1e3 * KEPT_SECONDS < read.now_ms:
                    self._partitions[number].removed.append(row.row.key)
                else:
                    sends.append(send)
            if not read.more or not read.rows:
                return sends
            start = read.rows[-1].row.key + "\x00"


def _partition_name(number: int) -> str:
    return f"{number:x}"


def _key_of(send: StartedSendMessage) -> str:
    """Return a key that no other send has."""
    return f"{send.fingerprint.hex()}/{send.run:08x}/{send.sent_ms}"


def _decode(key: str, value: bytes | None) -> StartedSendMessage | None:
    try:
        return StartedSendMessage.FromString(value or b"")
    except DecodeError as error:
        log.warning("send_row_malformed", key=key, detail=str(error))
        return None
