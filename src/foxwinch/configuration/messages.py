"""Encoding of configuration changes as gossip entries and as responses to peers."""

from foxwinch._generated.configuration_pb2 import ConfigurationChange
from foxwinch.core.configuration.change import Change, encode
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.identifiers import Revision

GOSSIP_SLOTS = 8
"""Number of newest deltas kept in gossip, so that rapid successive changes need no fetch."""
GOSSIP_BODY_BYTES = 480
"""Larger deltas are announced by revision only and fetched over TCP. A change of one tenant takes
about 200 bytes, and several entries share a datagram of one MTU."""
MAX_ENTRIES_COMPRESSED = 16
"""Deltas with more entries are not encoded for gossip because they never fit."""


def gossip_entry(change: Change) -> GossipEntry:
    """Return the gossip entry of a change, with only the revision if the change is too large."""
    message = ConfigurationChange(revision=change.revision)
    if len(change.delta.puts) + len(change.delta.deletes) <= MAX_ENTRIES_COMPRESSED:
        whole = encode(change)
        if len(whole.body) <= GOSSIP_BODY_BYTES:
            message = whole
    key = f"revision-{change.revision % GOSSIP_SLOTS}"
    return GossipEntry(GossipKind.CONFIGURATION, key, change.revision, message.SerializeToString())


class ChangeEncoder:
    """Encodes changes for peers and caches the encoding of the newest full document."""

    def __init__(self) -> None:
        self._whole: ConfigurationChange | None = None

    def encode(self, change: Change) -> ConfigurationChange:
        """Return the message of a change."""
        if change.base != Revision(0):
            return encode(change)
        if self._whole is None or self._whole.revision != change.revision:
            self._whole = encode(change)
        return self._whole
