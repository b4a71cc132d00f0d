"""Lines of the roles that are measured step by step: gateway, owner, steward, replica, limits."""

from collections.abc import Mapping
from typing import Any

from foxwinch.bench.capacity.design import DesignSize, per_node
from foxwinch.bench.capacity.lines import COMPUTED, NOT_MEASURED, Line, measured
from foxwinch.core.shard.placement import REPLICAS_PER_SHARD, SHARDS_PER_REGION
from foxwinch.node.limits_service import DIGEST_BYTES_PER_SECOND, UPDATE_SECONDS

RECORDS_PER_CALL = 2
"""The call and its answer; tool calls and settings of a program add to it."""
RECORD_BYTES = 4_000
"""Size of a record for which the replica's part is worked out."""
REGION_WORKERS_POOL = 100
"""Workers of the largest pool measured."""


def overhead_lines(overhead: Mapping[str, Any], size: DesignSize) -> list[Line]:
    """Return what gateway and owner cost beside a bare pass-through, from the overhead bench."""
    mechanism = "one node's whole path against a pass-through, same run"
    few, many = _case(overhead, 8), _case(overhead, 200)
    per_call = few.get("node", {}).get("processor_seconds_per_request")
    long_call = many.get("node", {}).get("processor_seconds_per_request")
    fraction = None
    if per_call is not None and long_call is not None:
        chunk = (long_call - per_call) / (many["chunks"] - few["chunks"])
        tokens = size.tokens_per_second / size.requests_per_second
        call = per_call + (tokens - few["chunks"]) * chunk
        fraction = call * per_node(size, SHARDS_PER_REGION).requests_per_second
    ratio = overhead.get
    return [
        _at_least("gateway", mechanism, "requests/s, ratio, lowest at most calls outstanding",
                  ratio("throughput_ratio"), 0.5, "processor time of one node's one core"),
        _at_least("gateway", mechanism, "chunks/s, ratio, lowest at most calls outstanding",
                  ratio("chunk_ratio"), 0.5, "writes of single chunks"),
        measured("gateway", mechanism, "added latency, ratio, highest at one call outstanding",
                 ratio("added_latency_ratio"), "", "hops: owner, replicas, steward", 2.5),
        measured("program owner", mechanism, "processor time, call of 8 chunks, first of 3 nodes",
                 per_call, "s", "-"),
        measured("program owner", mechanism, "processor time, call of 200 chunks", long_call, "s",
                 "writes of single chunks"),
        _computed("program owner", "the two lines above", "a node's part of the calls, a chunk a "
                  "token", fraction, "of a core", "a node has one core for its event loop: above 1 "
                  "more nodes are needed"),
    ]  # fmt: skip


def decision_lines(units: Mapping[str, Any]) -> list[Line]:
    """Return the cost of the stewards' decisions."""
    found = units.get("steward_decisions", [])
    lines = []
    for workers in (9, 36, REGION_WORKERS_POOL):
        for queued in (0, 1_000):
            cost = _find(found, workers=workers, queued=queued)
            both = cost["arrival_microseconds"] + cost["finish_microseconds"] if cost else None
            lines.append(
                measured("steward", "all workers weighed for a call", "arrival and end of a call, "
                         f"{workers} workers, {queued} waiting", both, "us",
                         "the number of workers in a pool, not the queue")
            )  # fmt: skip
    return lines


def decision_load_lines(units: Mapping[str, Any], size: DesignSize) -> list[Line]:
    """Return what decisions take of a core where a pool's calls all come to one steward."""
    cost = _find(units.get("steward_decisions", []), workers=36, queued=1_000)
    fraction = None
    if cost:
        rate = size.requests_per_second * 36 / size.workers
        fraction = rate * (cost["arrival_microseconds"] + cost["finish_microseconds"]) / 1e6
    return [
        _computed("steward", "one pool of 36 workers at one steward", "its part of the calls",
                  fraction, "of a core", "larger pools: cost grows twice, by the calls "
                  "and by the workers weighed")
    ]  # fmt: skip


def journal_lines(units: Mapping[str, Any], size: DesignSize) -> list[Line]:
    """Return the cost of the journal at replicas."""
    appends = units.get("journal_append", [])
    mechanism = "one record to one replica and its answer, both sides, in memory"
    lines = []
    for cost in appends or [{"record_bytes": RECORD_BYTES}]:
        record = f"record of {cost['record_bytes']:,} B"
        lines += [
            measured("replica", mechanism, f"processor time, {record}",
                     cost.get("processor_seconds"), "s", "-"),
            measured("replica", mechanism, f"bytes both ways, {record}, without envelope",
                     _sum(cost, "request_bytes", "reply_bytes"), "B", "-"),
        ]  # fmt: skip
    chosen = _find(appends, record_bytes=RECORD_BYTES)
    node_rate = size.requests_per_second / size.nodes * RECORDS_PER_CALL * (REPLICAS_PER_SHARD - 1)
    fraction = node_rate * chosen["processor_seconds"] if chosen else None
    traffic = node_rate * (chosen["request_bytes"] + chosen["reply_bytes"]) if chosen else None
    lines += [
        _computed("replica", f"{RECORDS_PER_CALL} records a call, {RECORD_BYTES:,} B each",
                  "processor time of a node's appends", fraction, "of a core",
                  "long prompts: 32,000 B cost more, see above"),
        _computed("replica", f"{RECORDS_PER_CALL} records a call, {RECORD_BYTES:,} B each",
                  "bytes of a node's appends (callers' data, no control traffic)", traffic, "B/s",
                  "memory of the logs until they are stored"),
    ]  # fmt: skip
    return lines


def limit_lines(units: Mapping[str, Any], size: DesignSize) -> list[Line]:
    """Return the cost of the shares of limits."""
    shares = units.get("limit_shares", {})
    mechanism = "shares of each limit from the told demand"
    region = size.nodes / size.regions
    told = shares.get("digest_entries")
    return [
        measured("limits", mechanism, f"one share, {size.tenants:,} tenants",
                 shares.get("share_seconds"), "s", "-"),
        measured("limits", mechanism, "reading one node's digest", shares.get("digest_seconds"),
                 "s", "-"),
        measured("limits", mechanism, f"adding up {region:.0f} nodes, once in {UPDATE_SECONDS:.0f} "
                 "s", shares.get("update_seconds"), "s", "nodes of a region"),
        measured("limits", mechanism, "one digest", shares.get("digest_bytes"), "B", "-"),
        measured("limits", mechanism, "tenants that a digest tells, the busiest first", told, "",
                 "more busy tenants at one node than that: the rest get the prior's share"),
        Line("limits", "interval grows with the nodes", "digests received", DIGEST_BYTES_PER_SECOND,
             "B/s", COMPUTED, "shares follow demand later in a larger region"),
    ]  # fmt: skip


def operator_lines(units: Mapping[str, Any]) -> list[Line]:
    """Return the cost of an operator's query of a whole region."""
    query = units.get("operator_query", {})
    mechanism = "every node of the region asked, 32 at once"
    many = f"{query['workers']} workers of {query['nodes']} nodes" if query else "all workers"
    return [
        measured("operator side", mechanism, f"list of {many}: processor time of all sides, "
                 "without the requests", query.get("processor_seconds"), "s",
                 "a watch that asks every second"),
        measured("operator side", mechanism, f"list of {many}: answers together",
                 query.get("answer_bytes"), "B", "the asked node's traffic, a query at a time"),
    ]  # fmt: skip


def _at_least(
    role: str, mechanism: str, quantity: str, value: float | None, goal: float, breaks: str
) -> Line:
    """Return a measured ratio that must reach a goal: headroom is value over goal."""
    how = NOT_MEASURED if value is None else "measured"
    return Line(role, mechanism, quantity, value, "", how, breaks, goal, at_least=True)


def _computed(
    role: str, mechanism: str, quantity: str, value: float | None, unit: str, breaks: str
) -> Line:
    how = NOT_MEASURED if value is None else COMPUTED
    return Line(role, mechanism, quantity, value, unit, how, breaks)


def _case(overhead: Mapping[str, Any], chunks: int) -> Mapping[str, Any]:
    """Return the case with the most outstanding requests and so many chunks."""
    found = [case for case in overhead.get("cases", []) if case["chunks"] == chunks]
    return max(found, key=lambda case: int(case["outstanding"]), default={})


def _find(found: list[dict[str, Any]], **wanted: int) -> dict[str, Any] | None:
    matching = (cost for cost in found if all(cost[k] == v for k, v in wanted.items()))
    return next(matching, None)


def _sum(cost: Mapping[str, Any], *names: str) -> float | None:
    return sum(cost[name] for name in names) if all(name in cost for name in names) else None
