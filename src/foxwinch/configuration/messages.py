"""Encoding of configuration changes as gossip entries and as responses to peers."""

from foxwinch._generated.configuration_pb2 import ConfigurationChange
from foxwinch.core.configuration.change import Change, encode
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.identifiers import Revision

GOSSIP_SLOTS = 8
"""Number of newest deltas kept in gossip, so that rapid successive changes need no fetch."""
MAX_GOSSIP_BODY_BYTES = 480
"""Larger deltas are announced by revision only and fetched over TCP. A change of one tenant takes
about 200 bytes, and several entries share a datagram of one MTU."""
MAX_ENTRIES_COMPRESSED = 16
"""Deltas with more entries are not encoded for gossip because they never fit."""


def gossip_entry(change: Change) -> GossipEntry:
    """Return the gossip entry of a change, with only the revision if the change is too large."""
    message = ConfigurationChange(revision=change.revision)
    if len(change.delta.puts) + len(change.delta.deletes) <= MAX_ENTRIES_COMPRESSED:
        full_message = encode(change)
        if len(full_message.body) <= MAX_GOSSIP_BODY_BYTES:
            message = full_message
    key = f"revision-{change.revision % GOSSIP_SLOTS}"
    return GossipEntry(GossipKind.CONFIGURATION, key, change.revision, message.SerializeToString())


class ChangeEncoder:
    """Encodes changes for peers and caches the encoding of the newest full document."""

    def __init__(self) -> None:
        self._full_message: ConfigurationChange | None = None

    def encode(self, change: Change) -> ConfigurationChange:
        """Return the message of a change."""
        if change.base != Revision(0):
            return encode(change)
        if self._full_message is None or self._full_message.revision != change.revision:
            self._full_message = encode(change)
        return self._full_message
