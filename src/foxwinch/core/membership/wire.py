"""Encoding and decoding of members and entries as protobuf fields of a datagram."""

from google.protobuf.message import DecodeError

from foxwinch._generated.membership_pb2 import GossipDatagram, GossipRecord, MemberRecord
from foxwinch.core.membership.entry import MAX_KEY_BYTES, MAX_PAYLOAD_BYTES, GossipEntry, GossipKind
from foxwinch.core.membership.member import Member, MemberState
from foxwinch.core.membership.parameters import MAX_DATAGRAM_BYTES
from foxwinch.identifiers import NodeId, PeerAddress, RegionName, ZoneName

_STATES = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.LEAVING,
    MemberState.LEFT,
    MemberState.DEAD,
)
_SENDER_TAG = b"\x0a"
_MEMBERS_TAG = b"\x3a"
_ENTRIES_TAG = b"\x42"
MAX_NAME_BYTES = 80
"""Longest node, zone or region name accepted in a datagram."""
MAX_NUMBER = 2**63 - 1
"""Highest incarnation or version accepted in a datagram."""


def sender_field(member: Member) -> bytes:
    """Return a member encoded as the `sender` field."""
    return _field(_SENDER_TAG, member_record(member).SerializeToString())


def member_field(member: Member) -> bytes:
    """Return a member encoded as an element of the `members` field."""
    return _field(_MEMBERS_TAG, member_record(member).SerializeToString())


def entry_field(entry: GossipEntry) -> bytes:
    """Return an entry encoded as an element of the `entries` field."""
    record = GossipRecord(
        kind=int(entry.kind),
        key=entry.key,
        version=entry.version,
        payload=entry.payload,
        owner=entry.owner or "",
    )
    return _field(_ENTRIES_TAG, record.SerializeToString())


def parse_datagram(payload: bytes) -> GossipDatagram | None:
    """Return the decoded datagram, or None if it is malformed."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        return None
    try:
        datagram = GossipDatagram.FromString(payload)
    except DecodeError:
        return None
    return datagram if datagram.HasField("sender") else None


def member_record(member: Member) -> MemberRecord:
    """Return a member as a protobuf message."""
    return MemberRecord(
        node=member.node,
        host=member.address.host,
        port=member.address.port,
        zone=member.zone,
        region=member.region,
        state=_STATES.index(member.state),  # type: ignore[arg-type]
        incarnation=member.incarnation,
    )


def read_member(record: MemberRecord) -> Member | None:
    """Return the member, or None if the record is invalid or unknown to this version."""
    names = (record.node, record.zone, record.region, record.host)
    if not all(0 < len(name) <= MAX_NAME_BYTES for name in names):
        return None
    if not 0 < record.port < 65_536 or record.incarnation > MAX_NUMBER:
        return None
    if not 0 <= record.state < len(_STATES):
        return None
    return Member(
        node=NodeId(record.node),
        address=PeerAddress(record.host, record.port),
        zone=ZoneName(record.zone),
        region=RegionName(record.region),
        state=_STATES[record.state],
        incarnation=record.incarnation,
    )


def read_entry(record: GossipRecord) -> GossipEntry | None:
    """Return the entry, or None if it is too large or its kind is unknown to this version."""
    if record.kind not in GossipKind._value2member_map_ or record.version > MAX_NUMBER:
        return None
    if not 0 < len(record.key) <= MAX_KEY_BYTES or len(record.payload) > MAX_PAYLOAD_BYTES:
        return None
    owner = NodeId(record.owner) if record.owner else None
    return GossipEntry(GossipKind(record.kind), record.key, record.version, record.payload, owner)


def _field(tag: bytes, body: bytes) -> bytes:
    length = len(body)
    if length < 128:
        return tag + bytes((length,)) + body
    return tag + bytes((length & 0x7F | 0x80, length >> 7)) + body
