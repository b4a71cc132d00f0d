"""Encoding of one configuration revision, and the resolution of changes with a lost response."""

import zlib
from dataclasses import dataclass

from foxwinch._generated.configuration_pb2 import (
    ConfigurationBody,
    ConfigurationChange,
    ConfigurationEntry,
)
from foxwinch.core.configuration.document import Delta, InvalidDocument
from foxwinch.identifiers import Revision

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of a decompressed body, 30 times the size of a document with 7,800 tenants."""
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Change:
    """A revision as a delta from `base`, or as a full document if `base` is 0."""

    revision: Revision
    base: Revision
    token: str
    """Idempotency token of the operator's change, used to resolve a lost response."""
    digest: int
    """Digest of the full document at `revision`."""
    delta: Delta


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """An operator's change is active as `revision`."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangeRejected:
    """Another change took the revision number; the newest known revision is `newer`."""

    newer: Revision


@dataclass(frozen=True, slots=True)
class ChangeUndecided:
    """The table does not contain the change, but the change may still take effect."""


def resolve_outcome(
    token: str, revision: Revision, head: Revision, stored_token: str | None
) -> ChangeAccepted | ChangeRejected | ChangeUndecided:
    """Return the outcome of a change whose response was lost, according to the table.

    `stored_token` is the token stored for `revision`, or None if that row is absent or pruned.
    """
    if stored_token == token:
        return ChangeAccepted(revision)
    if head >= revision and stored_token is not None:
        return ChangeRejected(head)
    return ChangeUndecided()


def encode_body(delta: Delta) -> bytes:
    """Serialize and compress a delta."""
    puts = [ConfigurationEntry(key=key, json=text) for key, text in sorted(delta.puts.items())]
    body = ConfigurationBody(puts=puts, deletes=delta.deletes)
    return zlib.compress(body.SerializeToString(deterministic=True), 6)


def encode(change: Change) -> ConfigurationChange:
    """Return the message of a change, including its body."""
    return ConfigurationChange(
        revision=change.revision,
        base_revision=change.base,
        token=change.token,
        digest=change.digest.to_bytes(DIGEST_BYTES, "big"),
        body=encode_body(change.delta),
    )


def decode(message: ConfigurationChange) -> Change | InvalidDocument:
    """Decode a message that includes its body."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(message.body, MAX_BODY_BYTES)
        body = ConfigurationBody.FromString(data)
    except Exception as error:
        return InvalidDocument(f"revision {message.revision}: {error}")
    if not decompressor.eof:
        return InvalidDocument(f"revision {message.revision}: body is truncated or too large")
    return Change(
        Revision(message.revision),
        Revision(message.base_revision),
        message.token,
        int.from_bytes(message.digest, "big"),
        Delta({entry.key: entry.json for entry in body.puts}, tuple(body.deletes)),
    )
