"""The lines of the capacity page: a figure, its limit, its mechanism, and what breaks first."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from foxwinch.bench.capacity.design import DesignSize, Limits, per_node
from foxwinch.bench.retry_storm import Policy
from foxwinch.core.configuration.pollers import POLLERS_PER_ZONE
from foxwinch.core.membership.parameters import MembershipParameters
from foxwinch.core.shard.placement import SHARDS_PER_REGION
from foxwinch.node.configuration_service import POLL_SECONDS

MEASURED = "measured"
COMPUTED = "computed"
NOT_MEASURED = "not measured"
MEAN_POLL_FRACTION = 0.75
"""A poller waits between half of its period and the whole."""
OPERATIONS_PER_TAKEOVER = 3
"""Read, raise and activation of one shard's row."""
PEER_CALL_FLOOR = "two nodes in one process on one core"


@dataclass(frozen=True, slots=True)
class Line:
    """One line; `value` is None when nothing has measured it."""

    role: str
    mechanism: str
    quantity: str
    value: float | None
    unit: str
    how: str
    breaks_first: str
    limit: float | None = None
    at_least: bool = False
    """The limit is a goal that the value must reach."""

    @property
    def headroom(self) -> float | None:
        """Limit over value, value over a goal to be reached: below 1 is a shortfall."""
        if self.limit is None or not self.value:
            return None
        if self.at_least:
            return self.value / self.limit
        return self.limit / self.value


def measured(
    role: str,
    mechanism: str,
    quantity: str,
    value: float | None,
    unit: str,
    breaks_first: str,
    limit: float | None = None,
) -> Line:
    """Return a line whose figure comes from a measurement, if there is one."""
    how = MEASURED if value is not None else NOT_MEASURED
    return Line(role, mechanism, quantity, value, unit, how, breaks_first, limit)


def load_lines(size: DesignSize) -> list[Line]:
    """Return what each node carries, by arithmetic."""
    part = per_node(size, SHARDS_PER_REGION)
    rows = (
        ("gateway", "any node takes any caller", "requests", part.requests_per_second, "/s",
         "a hot caller address; callers spread themselves"),
        ("gateway", "owner streams from the worker", "tokens", part.tokens_per_second, "/s",
         "processor time of the streamed chunks"),
        ("program owner", "shards by rendezvous hashing", "live programs", part.programs, "",
         "memory, by the histories kept in it"),
        ("program owner", "64 shards a region", "shards", part.shards_per_region_node, "",
         "64 shards on 71 nodes: some nodes own none, some three"),
        ("steward", "one steward for each worker", "workers", part.workers, "",
         "the decisions over all workers of the region, not the own ones"),
        ("member", "full membership inside the region", "members known", part.nodes_per_region,
         "", "gossip: what each node tells of itself reaches all of them"),
    )  # fmt: skip
    return [Line(role, m, q, v, u, COMPUTED, b) for role, m, q, v, u, b in rows]


def control_lines(fleet: Mapping[str, Any], limits: Limits) -> list[Line]:
    """Return what the control code costs a node at the design size, from the hollow fleet."""
    covered = "membership, gossip, configuration and ownership together"
    worst = fleet.get
    return [
        measured("member", covered, "control traffic, median node", _steady(fleet,
                 "control_bytes_per_second_p50"), "B/s", "-", limits.control_bytes_per_second),
        measured("member", covered, "control traffic, worst node and scenario",
                 worst("control_bytes_per_second_max"), "B/s",
                 "streams of takeovers and fetches, which no bucket bounds",
                 limits.control_bytes_per_second),
        measured("member", covered, "processor time, worst node and scenario",
                 worst("control_cpu_fraction_max"), "of a core",
                 "reading gossip, by the number of datagrams", limits.control_cpu_fraction),
        measured("member", covered, "memory a node", worst("memory_bytes_per_node"), "B",
                 "the configuration document (see below)", limits.memory_bytes),
        measured("member", "SWIM probes and suspicion", "detection, median",
                 worst("detection_seconds_p50"), "s", "suspicion of 2.5 s is most of it"),
        measured("member", "SWIM probes and suspicion", "detection, 99 in 100",
                 worst("detection_seconds_p99"), "s", "spread of the news inside the budget"),
        measured("member", "refutation by the suspected", "live nodes declared dead",
                 worst("false_deaths"), "", "not seen at 30% loss; see design/membership.md"),
        measured("configuration poller", "gossip of differences", "change in force, 99 in 100",
                 worst("config_seconds_p99"), "s", "-", limits.configuration_seconds),
        measured("configuration poller", "gossip of differences", "change in force, slowest",
                 worst("config_seconds_max"), "s", "two missed rounds of anti-entropy",
                 limits.configuration_seconds),
        measured("program owner", "epochs and replicas", "shard without owner, slowest takeover",
                 worst("takeover_seconds_max"), "s", "detection"),
    ]  # fmt: skip


def document_lines(fleet: Mapping[str, Any], size: DesignSize, limits: Limits) -> list[Line]:
    """Return what the configuration document of the design size costs one node."""
    document = fleet.get("configuration_at_design_size", {})
    apply_seconds = document.get("apply_seconds_p50")
    per_second = size.changes_per_day / 86_400
    fraction = apply_seconds * per_second if apply_seconds is not None else None
    how = COMPUTED if fraction is not None else NOT_MEASURED
    return [
        measured("configuration poller", "one document in memory", f"{size.tenants} tenants",
                 document.get("memory_bytes"), "B", "copies of it while it changes",
                 limits.memory_bytes),
        measured("configuration poller", "differences", "one change", apply_seconds, "s", "-"),
        Line("configuration poller", "differences", "all changes of a day", fraction, "of a core",
             how, "a change of many entries at once", limits.control_cpu_fraction),
    ]  # fmt: skip


def store_lines(fleet: Mapping[str, Any], size: DesignSize) -> list[Line]:
    """Return the rates that the control code needs of the table service."""
    polls = size.zones * POLLERS_PER_ZONE / (POLL_SECONDS * MEAN_POLL_FRACTION)
    shards = SHARDS_PER_REGION * size.regions / size.nodes
    ended = (size.machine_failures_per_day + size.restarts_per_day) / 86_400
    takeovers = 2 * ended * shards * OPERATIONS_PER_TAKEOVER
    return [
        Line("configuration poller", "two pollers a zone", "reads of the head", polls, "/s",
             COMPUTED, "at half: gossip carries changes; each zone sees the table half as often"),
        Line("operator side", "compare-and-set", "changes", size.changes_per_day / 86_400, "/s",
             COMPUTED, "at half: changes wait; none is lost"),
        Line("program owner", "epochs in the table", "takeovers of an ordinary day", takeovers,
             "/s", COMPUTED, "at half: takeovers of a whole zone take twice as long; the replicas "
             "raise epochs when the table is down"),
        measured("all", "as driven by the hollow fleet", "operations without failures",
                 _steady(fleet, "store_operations_per_second"), "/s", "see above"),
        measured("all", "as driven by the hollow fleet", "operations, busiest scenario",
                 fleet.get("store_operations_per_second"), "/s", "a replacement of every node"),
    ]  # fmt: skip


def peer_lines(peer: Mapping[str, Any]) -> list[Line]:
    """Return the cost of a request between nodes."""
    rounds = peer.get("rounds", [])
    best = min((r["processor_seconds_per_call"] for r in rounds), default=None)
    worst = max((r["processor_seconds_per_call"] for r in rounds), default=None)
    return [
        measured("all", f"framed protobuf, {PEER_CALL_FLOOR}", "request, both sides, best round",
                 best, "s", "-"),
        measured("all", f"framed protobuf, {PEER_CALL_FLOOR}", "request, both sides, worst round",
                 worst, "s", "other work on the machine"),
    ]  # fmt: skip


def retry_lines(storm: Sequence[Mapping[str, Any]]) -> list[Line]:
    """Return what repeats add after a back end returns, in the model of the retry bench."""
    chosen = next((result for result in storm if result["policy"] == Policy.BUDGET), {})
    mechanism = "full jitter, retry budget, circuit"
    return [
        measured("gateway", mechanism, "attempts a call in the 30 s after the return",
                 chosen.get("attempts_per_call_after_return"), "", "budgets of a tenth", 1.1),
        measured("gateway", mechanism, "new calls that succeed in the 30 s after",
                 chosen.get("succeeded_fraction_after_return"), "", "an open circuit refuses"),
    ]  # fmt: skip


def budget_lines(size: DesignSize, limits: Limits) -> list[Line]:
    """Return what the gossip budget allows, by arithmetic."""
    parameters = MembershipParameters()
    budget = parameters.budget_bytes_per_second
    region = size.nodes / size.regions
    entry_bytes = 400.0
    copies = parameters.transmissions[4]
    return [
        Line("member", "token bucket over datagrams", "sent and received, long-run bound",
             2 * budget, "B/s", COMPUTED, "nothing: gossip gets older instead",
             limits.control_bytes_per_second),
        Line("steward", "digests by gossip", f"age of a digest of {entry_bytes:.0f} B from each "
             "member, when nothing else is sent", region * entry_bytes * copies / budget, "s",
             COMPUTED, "choices between pools by loads of that age"),
    ]  # fmt: skip


def _steady(fleet: Mapping[str, Any], name: str) -> float | None:
    runs = fleet.get("runs", [])
    value: float | None = runs[-1]["scenarios"]["steady"][name] if runs else None
    return value
