"""Epochs of fenced resources, such as workers: a row of the shared store for each."""

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
RAISE_SECONDS = 2.0
"""For a raise with its repeats; the caller tries again later."""
RACED_RETRY_SECONDS = 1.0
log = EventLog("epochs")


class StoredEpochs:
    """Implements `foxwinch.workers.ports.EpochView`."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        """Keep the rows in `store`."""
        self._store = store
        self._clock = clock

    async def raise_epoch(self, resource: str) -> EpochClaim | Refused:
        """Take `resource` over under a new, higher epoch; `CONFLICT` when a race was lost.

        Without an answer in time the row may have been raised all the same: nobody holds that
        epoch, and the next raise goes above it.
        """
        row = RowKey(EPOCHS_TABLE, partition_of(resource), resource)
        deadline_at = self._clock.monotonic() + RAISE_SECONDS
        version = 0
        wanted = EpochRecord(epoch=1, claim=self._clock.identifier())
        while True:
            answer = await self._write(row, version, wanted, deadline_at)
            if isinstance(answer, Refused):
                return answer
            if isinstance(answer, Written):
                break
            found = answer.rows[0]
            held = EpochRecord.FromString(found.value or b"")
            if held.claim == wanted.claim:
                break
            if version:
                return not_run(
                    Reason.CONFLICT, "another node raised the epoch", RACED_RETRY_SECONDS
                )
            version, wanted.epoch = found.version, held.epoch + 1
        log.info("epoch_raised", resource=resource, epoch=wanted.epoch)
        return EpochClaim(resource, Epoch(wanted.epoch))

    async def _write(
        self, row: RowKey, version: int, wanted: EpochRecord, deadline_at: float
    ) -> Written | Conflict | Refused:
        condition = RowCondition(row, version)
        write = RowWrite(row, wanted.SerializeToString())

        async def send(timeout_seconds: float) -> Written | Conflict | Refused:
            return await self._store.transact((condition,), (write,), timeout_seconds)

        return await retry_until(self._clock, deadline_at, send)
