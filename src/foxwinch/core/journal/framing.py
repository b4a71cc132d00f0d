"""Records of a journal in bytes: length, chained checksum, payload.

The checksum of a record is seeded with that of the record before it. So one number both finds a
damaged record and names the whole history up to it: two logs that agree on the chain at an index
hold the same records up to there.
"""

import struct
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

FIRST_CHAIN = 0
"""Chain before the first record."""
RECORD_BYTES_MAXIMUM = 8 * 1024 * 1024
"""A longer length can only be damage: requests of callers are bounded far below it."""
_HEADER = struct.Struct("<IQ")


@dataclass(frozen=True, slots=True)
class Entry:
    """One record in its place; the first record of a shard has index 1."""

    index: int
    chain: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class CorruptFrames:
    """Bytes that do not hold the records they claim to hold."""

    index: int
    """Index of the first record that cannot be read."""
    problem: str


def next_chain(previous_chain: int, payload: bytes) -> int:
    """Return the chain after a record."""
    return xxhash.xxh3_64_intdigest(payload, seed=previous_chain)


def chain_entries(
    payloads: Sequence[bytes], first_index: int, previous_chain: int
) -> tuple[Entry, ...]:
    """Return payloads as entries that follow on `previous_chain`."""
    entries: list[Entry] = []
    chain = previous_chain
    for offset, payload in enumerate(payloads):
        chain = next_chain(chain, payload)
        entries.append(Entry(first_index + offset, chain, payload))
    return tuple(entries)


def encode_frames(entries: Sequence[Entry]) -> bytes:
    """Return entries as bytes."""
    return b"".join(_HEADER.pack(len(e.payload), e.chain) + e.payload for e in entries)


def decode_frames(
    data: bytes, first_index: int, previous_chain: int
) -> tuple[Entry, ...] | CorruptFrames:
    """Read entries back and check every chained checksum."""
    entries: list[Entry] = []
    chain = previous_chain
    position = 0
    while position < len(data):
        index = first_index + len(entries)
        if position + _HEADER.size > len(data):
            return CorruptFrames(index, "header cut short")
        length, expected = _HEADER.unpack_from(data, position)
        position += _HEADER.size
        if length > RECORD_BYTES_MAXIMUM or position + length > len(data):
            return CorruptFrames(index, "record cut short")
        payload = data[position : position + length]
        position += length
        chain = next_chain(chain, payload)
        if chain != expected:
            return CorruptFrames(index, "checksum differs")
        entries.append(Entry(index, chain, payload))
    return tuple(entries)


def snapshot_checksum(index: int, chain: int, records: Sequence[bytes]) -> int:
    """Return the checksum that is kept beside a snapshot."""
    checksum = xxhash.xxh3_64_intdigest(_HEADER.pack(len(records), index), seed=chain)
    for record in records:
        checksum = next_chain(checksum, record)
    return checksum
