"""Epochs of fenced resources such as workers, each stored in a row of the shared store."""

from foxwinch._generated.families_pb2 import EpochRecord
from foxwinch.clock import Clock
from foxwinch.identifiers import Epoch
from foxwinch.log import EventLog
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.partitions import partition_of
from foxwinch.records.ports import Conflict, RecordStore, RowCondition, RowKey, RowWrite, Written
from foxwinch.records.retry import retry_until
from foxwinch.workers.ports import EpochClaim

EPOCHS_TABLE = "epochs"
RAISE_TIMEOUT_SECONDS = 2.0
"""Timeout of an increment including retries, after which the caller tries again later."""
CONFLICT_RETRY_SECONDS = 1.0
log = EventLog("epochs")


class StoredEpochs:
    """Implements `foxwinch.workers.ports.EpochView`."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take over `resource` under a higher epoch; a lost race is refused with `CONFLICT`.

        After a timeout the row may still have been updated. No node holds that epoch, and the next
        increment exceeds it.
        """
        row = RowKey(EPOCHS_TABLE, partition_of(resource), resource)
        deadline_at = self._clock.monotonic() + RAISE_TIMEOUT_SECONDS
        version = 0
        record = EpochRecord(epoch=1, claim=self._clock.identifier())
        while True:
            response = await self._write(row, version, record, deadline_at)
            if isinstance(response, Refused):
                return response
            if isinstance(response, Written):
                break
            current = response.rows[0]
            stored = EpochRecord.FromString(current.value or b"")
            if stored.claim == record.claim:
                break
            if version:
                return not_run(
                    Reason.CONFLICT, "another node has raised the epoch", CONFLICT_RETRY_SECONDS
                )
            version, record.epoch = current.version, stored.epoch + 1
        log.info("epoch_raised", resource=resource, epoch=record.epoch)
        return EpochClaim(resource, Epoch(record.epoch))

    async def _write(
        self, row: RowKey, version: int, record: EpochRecord, deadline_at: float
    ) -> Written | Conflict | Refused:
        condition = RowCondition(row, version)
        write = RowWrite(row, record.SerializeToString())

        async def send(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (write,), timeout_seconds)

        return await retry_until(self._clock, deadline_at, send)
