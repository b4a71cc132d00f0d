"""A shard's journal in memory: a snapshot and the entries after it."""

from collections.abc import Sequence
from dataclasses import dataclass

from foxwinch.core.journal.framing import FIRST_CHAIN, Entry, chain_entries

ENTRY_OVERHEAD_BYTES = 120
"""Memory of one entry beside its payload, as measured by `sys.getsizeof` of its parts."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records that rebuild the state after the record `index`; index 0 is the empty start."""

    index: int = 0
    chain: int = FIRST_CHAIN
    records: tuple[bytes, ...] = ()

    def size_bytes(self) -> int:
        """Return the memory that the snapshot takes."""
        return sum(len(record) + ENTRY_OVERHEAD_BYTES for record in self.records)


EMPTY_SNAPSHOT = Snapshot()


class JournalLog:
    """Entries in order, contiguous from the snapshot on."""

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: Sequence[Entry] = ()) -> None:
        """Start from a snapshot and the entries that follow on it."""
        self.snapshot = snapshot
        self._snapshot_bytes = snapshot.size_bytes()
        self._entries: list[Entry] = []
        self._entry_bytes = 0
        self.extend(entries)

    @property
    def last_index(self) -> int:
        """Index of the last record, 0 when there is none."""
        return self._entries[-1].index if self._entries else self.snapshot.index

    @property
    def last_chain(self) -> int:
        """Chain at the last record."""
        return self._entries[-1].chain if self._entries else self.snapshot.chain

    @property
    def snapshot_bytes(self) -> int:
        """Memory of the snapshot."""
        return self._snapshot_bytes

    @property
    def entry_bytes(self) -> int:
        """Memory of the entries after the snapshot."""
        return self._entry_bytes

    def size_bytes(self) -> int:
        """Return the memory of the whole log."""
        return self._entry_bytes + self._snapshot_bytes

    def chain_at(self, index: int) -> int | None:
        """Return the chain at an index, or None when the log does not reach it or cut it off."""
        if index == self.snapshot.index:
            return self.snapshot.chain
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self._entries):
            return self._entries[position].chain
        return None

    def append(self, payloads: Sequence[bytes]) -> tuple[Entry, ...]:
        """Add new records and return them as entries."""
        entries = chain_entries(payloads, self.last_index + 1, self.last_chain)
        self.extend(entries)
        return entries

    def extend(self, entries: Sequence[Entry]) -> None:
        """Add entries that follow on the last one; raises AssertionError when they do not."""
        for entry in entries:
            assert entry.index == self.last_index + 1, "entries must be contiguous"
            self._entries.append(entry)
            self._entry_bytes += len(entry.payload) + ENTRY_OVERHEAD_BYTES

    def after(self, index: int, limit_bytes: int | None = None) -> tuple[Entry, ...]:
        """Return the entries after `index`, at least one, up to a size where one is given.

        Raises AssertionError when the snapshot has replaced some of them.
        """
        assert index >= self.snapshot.index, "entries were replaced by the snapshot"
        rest = self._entries[index - self.snapshot.index :]
        if limit_bytes is None:
            return tuple(rest)
        taken = 0
        total = 0
        for entry in rest:
            total += len(entry.payload) + ENTRY_OVERHEAD_BYTES
            if taken and total > limit_bytes:
                break
            taken += 1
        return tuple(rest[:taken])

    def truncate(self, index: int) -> None:
        """Forget every entry after `index`."""
        kept = self._entries[: max(0, index - self.snapshot.index)]
        dropped = self._entries[len(kept) :]
        self._entry_bytes -= sum(len(e.payload) + ENTRY_OVERHEAD_BYTES for e in dropped)
        self._entries = kept

    def compact(self, snapshot: Snapshot) -> bool:
        """Replace the entries up to the snapshot's index by it; False when it does not fit."""
        if snapshot.index < self.snapshot.index or self.chain_at(snapshot.index) != snapshot.chain:
            return False
        rest = self._entries[snapshot.index - self.snapshot.index :]
        self.snapshot = snapshot
        self._snapshot_bytes = snapshot.size_bytes()
        self._entries = []
        self._entry_bytes = 0
        self.extend(rest)
        return True

    def payloads(self) -> list[bytes]:
        """Return the records that rebuild the state: the snapshot's, then the entries'."""
        return [*self.snapshot.records, *(entry.payload for entry in self._entries)]

    def copy(self) -> "JournalLog":
        """Return a log of its own with the same content."""
        return JournalLog(self.snapshot, self._entries)
