"""Periods and bounds of membership and gossip; docs/design/membership.md gives the rationale."""

from dataclasses import dataclass

UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers, which count against the byte budget."""
MAX_DATAGRAM_BYTES = 1_200


@dataclass(frozen=True, slots=True)
class MembershipParameters:
    """All tunable parameters; tests and experiments override single ones."""

    tick_seconds: float = 0.25
    """Interval at which the driver calls `tick`."""
    probe_period_seconds: float = 0.5
    """A node probes one other node per period. Each node is thus probed about once per period, and
    the time until the first probe of a dead node is exponential with this mean."""
    probe_timeout_seconds: float = 0.25
    """Time after which an unacknowledged probe is repeated directly and through helpers. The round
    trip within a region is 6 ms."""
    probe_failed_seconds: float = 0.75
    """Time after which the target of an unacknowledged probe is suspected."""
    indirect_probes: int = 3
    suspicion_seconds: float = 2.5
    """Suspicion timeout, during which the suspecting node keeps probing before it declares the
    target dead."""
    reprobe_seconds: float = 0.5
    """Interval between probes of a suspected member."""
    reprobe_helpers: int = 2
    max_suspicions: int = 2
    """Number of suspicions at which a node starts no further probes. When a zone fails, the other
    nodes share the work, and a node that is itself partitioned stays within its budget."""
    pause_threshold_seconds: float = 1.0
    """A longer gap between ticks counts as a pause of this process, whose failure evidence is then
    discarded."""
    absent_retention_seconds: float = 600.0
    """Retention of the records of absent members, so that stale gossip does not revive them."""
    unknown_owner_seconds: float = 60.0
    """Age at which an entry is dropped if its owner never appeared as a member."""
    digest_period_seconds: float = 5.0
    """Interval of anti-entropy with one random member."""
    diverged_digest_period_seconds: float = 1.0
    """Anti-entropy interval after a comparison in which a quarter of the buckets differed, as after
    a join or a partition."""
    recent_entry_seconds: float = 5.0
    """Age below which an entry is still being gossiped. Anti-entropy repeats a younger entry only
    if its kind is global."""
    bucket_count: int = 32
    repair_datagrams: int = 4
    """Maximum number of datagrams sent in response to one digest."""
    join_period_seconds: float = 1.0
    """Interval of join attempts while no other member of the region is known."""
    rejoin_period_seconds: float = 15.0
    """Interval of join attempts to one missing address afterwards, so that partitions heal."""
    summary_period_seconds: float = 60.0
    """Interval at which a region publishes its summary to the other regions."""
    summary_transmissions: int = 2
    """Overrides `transmissions` for summaries: they are not urgent, and every node receives those
    of all regions."""
    bridges: int = 3
    """Number of members of a region that exchange gossip with other regions."""
    region_silent_seconds: float = 150.0
    """Time without a new summary after which a region counts as isolated."""
    budget_bytes_per_second: float = 2_000.0
    """Rate of sent datagrams. A node receives as much as it sends, so a third of its 6,000 B/s for
    control traffic remains for requests over TCP."""
    budget_burst_bytes: float = 32_000.0
    """Bytes that accumulate while little is sent, so that a burst of updates is not delayed."""
    budget_overdraft_bytes: float = 9_000.0
    """Overdraft allowed for probes and responses; urgent updates may use half of it."""
    max_former_addresses: int = 256
    """Number of addresses of absent members kept as join targets."""
    max_entries: int = 20_000
    """Maximum number of entries held."""
    transmissions: tuple[int, ...] = (6, 6, 6, 4, 3, 3)
    """Transmissions of an update by each node, indexed by kind and bounded by the number of other
    members. Anti-entropy reaches the remaining nodes."""
