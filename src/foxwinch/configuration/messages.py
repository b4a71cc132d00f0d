"""Changes of the configuration as gossip entries and as answers to fellow nodes."""

from foxwinch._generated.configuration_pb2 import ConfigurationChange
from foxwinch.core.configuration.change import Change, encode
from foxwinch.core.membership.entry import GossipEntry, GossipKind
from foxwinch.identifiers import Revision

GOSSIP_SLOTS = 8
"""The newest differences stay in gossip, so that a quick row of changes needs no fetching."""
GOSSIP_BODY_BYTES = 480
"""Larger differences are announced by revision only and fetched over TCP: a change of one tenant
takes about 200 bytes, and several entries share a datagram of one MTU."""
MAX_ENTRIES_COMPRESSED = 16
"""Differences with more entries are not even tried: they never fit."""


def gossip_entry(change: Change) -> GossipEntry:
    """Return the entry that spreads a change, or only its revision when it is too large."""
    message = ConfigurationChange(revision=change.revision)
    if len(change.delta.puts) + len(change.delta.deletes) <= MAX_ENTRIES_COMPRESSED:
        whole = encode(change)
        if len(whole.body) <= GOSSIP_BODY_BYTES:
            message = whole
    key = f"revision-{change.revision % GOSSIP_SLOTS}"
    return GossipEntry(GossipKind.CONFIGURATION, key, change.revision, message.SerializeToString())


class ChangeEncoder:
    """Encodes changes for fellow nodes; the newest whole document is encoded once."""

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._whole: ConfigurationChange | None = None

    def encode(self, change: Change) -> ConfigurationChange:
        """Return the message of a change."""
        if change.base != Revision(0):
            return encode(change)
        if self._whole is None or self._whole.revision != change.revision:
            self._whole = encode(change)
        return self._whole
