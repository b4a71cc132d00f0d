"""Periods and bounds of membership and gossip; docs/design/membership.md weighs them."""

from dataclasses import dataclass

UDP_HEADER_BYTES = 28
"""IPv4 and UDP headers, counted against the budget."""
DATAGRAM_BYTES = 1_200


@dataclass(frozen=True, slots=True)
class MembershipParameters:
    """All of them, so that tests and experiments can change one."""

    tick_seconds: float = 0.25
    """How often the driver calls `tick`."""
    probe_period_seconds: float = 0.5
    """A node probes one other node per period; each is probed about once per period, and the wait
    for the first probe of a dead node is exponential with this mean."""
    probe_timeout_seconds: float = 0.25
    """After that the probe is repeated and helpers are asked; a region's round trip is 6 ms."""
    probe_failed_seconds: float = 0.75
    """After that the target is suspected."""
    indirect_probes: int = 3
    suspicion_seconds: float = 2.5
    """The suspecting node goes on probing for so long before it declares the target dead."""
    reprobe_seconds: float = 0.5
    """Pause between probes of a node that this node suspects."""
    reprobe_helpers: int = 2
    suspicions_at_once: int = 2
    """No further member is probed while so many are suspected here: when a zone fails, the others
    share the work, and a node that is itself cut off stays inside its budget."""
    stall_seconds: float = 1.0
    """A gap between ticks above this was a pause of this process: its own evidence is void."""
    forget_seconds: float = 600.0
    """Records of absent members are kept so long, so that old gossip does not revive them."""
    unknown_owner_seconds: float = 60.0
    """An entry whose owner never showed up as a member is dropped after that."""
    digest_period_seconds: float = 5.0
    """Anti-entropy with one random member."""
    digest_hurry_seconds: float = 1.0
    """The same while a quarter of the buckets differed last time: after a join or a partition."""
    settle_seconds: float = 5.0
    """Entries younger than this are still on their way; anti-entropy repeats only those of them
    that every node must have."""
    bucket_count: int = 32
    repair_datagrams: int = 4
    """Datagrams with which one digest is answered at most."""
    join_period_seconds: float = 1.0
    """While no other member of the region is known."""
    rejoin_period_seconds: float = 15.0
    """For ever after: one address that should be a member but is not, so that partitions heal."""
    summary_period_seconds: float = 60.0
    """How often a region tells the other regions that it is there."""
    summary_transmissions: int = 2
    """Instead of `transmissions`: nothing waits for a summary, and every node of every region gets
    those of all regions."""
    bridges: int = 3
    """Members of a region that speak with the other regions."""
    region_silent_seconds: float = 150.0
    """A region whose summary has not changed for so long counts as cut off."""
    budget_bytes_per_second: float = 2_000.0
    """What a node sends in datagrams; as much arrives, so a third of the 6,000 B/s is left for
    requests over TCP."""
    budget_burst_bytes: float = 32_000.0
    """Saved up while little is sent: news that comes all at once does not wait."""
    budget_overdraft_bytes: float = 9_000.0
    """What probes and answers may take beyond the budget, and urgent news half of it."""
    former_addresses: int = 256
    """Addresses of absent members that are tried again."""
    entries: int = 20_000
    """Entries held at most."""
    transmissions: tuple[int, ...] = (6, 6, 6, 4, 3, 3)
    """How often a node passes on what is new to it, by kind, and no more often than there are other
    members; digests reach the rest."""
