"""One revision of the configuration in the form that is stored and sent, and how it was settled."""

import zlib
from dataclasses import dataclass

from foxwinch._generated.configuration_pb2 import (
    ConfigurationBody,
    ConfigurationChange,
    ConfigurationEntry,
)
from foxwinch.core.configuration.document import Delta, Unreadable
from foxwinch.identifiers import Revision

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Bound on a decompressed body: 30 times the document of 7,800 tenants."""
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Change:
    """A revision as the difference from `base`, or whole with base 0."""

    revision: Revision
    base: Revision
    token: str
    """Token of the operator's change, by which a lost answer is settled."""
    digest: int
    """Digest of the whole document at `revision`."""
    delta: Delta


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """An operator's change is in force under `revision`."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangeRejected:
    """Another change has taken the revision; the newest one known is `newer`."""

    newer: Revision


@dataclass(frozen=True, slots=True)
class ChangeUndecided:
    """The table does not show the change yet, but it may still take effect."""


def settle(
    token: str, revision: Revision, head: Revision, stored_token: str | None
) -> ChangeAccepted | ChangeRejected | ChangeUndecided:
    """Say what became of a change whose answer was lost, from what the table shows.

    `stored_token` is the token found under `revision`, or None when that row is gone or absent.
    """
    if stored_token == token:
        return ChangeAccepted(revision)
    if head >= revision and stored_token is not None:
        return ChangeRejected(head)
    return ChangeUndecided()


def encode_body(delta: Delta) -> bytes:
    """Serialize and compress a difference."""
    puts = [ConfigurationEntry(key=key, json=text) for key, text in sorted(delta.puts.items())]
    body = ConfigurationBody(puts=puts, deletes=delta.deletes)
    return zlib.compress(body.SerializeToString(deterministic=True), 6)


def encode(change: Change) -> ConfigurationChange:
    """Return the message of a change with its body inside."""
    return ConfigurationChange(
        revision=change.revision,
        base_revision=change.base,
        token=change.token,
        digest=change.digest.to_bytes(DIGEST_BYTES, "big"),
        body=encode_body(change.delta),
    )


def decode(message: ConfigurationChange) -> Change | Unreadable:
    """Read a message whose body is inside."""
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(message.body, MAX_BODY_BYTES)
        body = ConfigurationBody.FromString(data)
    except Exception as error:
        return Unreadable(f"revision {message.revision}: {error}")
    if not unpacker.eof:
        return Unreadable(f"revision {message.revision}: body is cut or too large")
    return Change(
        Revision(message.revision),
        Revision(message.base_revision),
        message.token,
        int.from_bytes(message.digest, "big"),
        Delta({entry.key: entry.json for entry in body.puts}, tuple(body.deletes)),
    )
