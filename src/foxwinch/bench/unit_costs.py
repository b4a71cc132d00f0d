"""Measure processor time and sizes of single steps: `python -m foxwinch.bench.unit_costs FILE`.

Each figure is the median of several rounds in one process, or the minimum for coordinator
decisions. All steps run in memory, so the cost of a request between nodes (`foxwinch bench peer`)
must be added for steps that need one.
"""

import json
import platform
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import NamedTuple

from foxwinch._generated.journal_pb2 import CallOutcome, HistoryMessage, JournalRecord
from foxwinch._generated.operator_pb2 import FactsRequest, FactsResponse, NodeStatus, WorkerStatus
from foxwinch.bench.commit import current_commit
from foxwinch.bench.schedule.decision_cost import measure_decisions
from foxwinch.core.limits.shares import PROPAGATION_SECONDS, ShareTable
from foxwinch.core.limits.usage import MAX_DIGEST_ENTRIES, UsageDigest, decode, encode
from foxwinch.identifiers import NodeId, ProgramId
from foxwinch.records.ports import StoredRow
from foxwinch.records.program_trees import TreeHead
from foxwinch.records.tree_rows import batch_writes, decode_records

ROUNDS = 5
NODES_PER_REGION = 71
WORKERS_PER_NODE = 9
TENANTS = 7_800
RECORD_BYTES = (200, 4_000, 32_000)
APPENDS = 500
QUERIES = 20
COORDINATOR_WORKERS = (9, 36, 100)
COORDINATOR_QUEUES = (0, 100, 1_000)


class AppendCost(NamedTuple):
    """Cost of one journal record, written as a batch of rows and read back."""

    record_bytes: int
    processor_seconds: float
    row_bytes: int
    """Total size of the rows in the batch."""


@dataclass(frozen=True, slots=True)
class ShareCost:
    """Cost of sharing the limits of all tenants among the nodes of a region."""

    nodes: int
    tenants: int
    digest_entries: int
    digest_bytes: int
    share_seconds: float
    """Time to compute the share of one tenant, as each request does."""
    digest_seconds: float
    """Time to decode and record the digest of another node."""
    update_seconds: float
    """Time to add up the demand of all nodes, which happens once per second."""


@dataclass(frozen=True, slots=True)
class QueryCost:
    """Cost of an operator query to all nodes of a region: encode, decode and sort the responses."""

    nodes: int
    workers: int
    processor_seconds: float
    answer_bytes: int
    """Total size of the responses of all nodes."""


def median_seconds(steps: int, run: Callable[[], None]) -> float:
    """Return the median processor time per step, where one call of `run` executes `steps` steps."""
    seconds_per_step = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        run()
        seconds_per_step.append((time.process_time() - started_at) / steps)
    return statistics.median(seconds_per_step)


def append_cost(record_bytes: int, appends: int = APPENDS) -> AppendCost:
    """Measure the conversion of a record into the rows of its batch and back."""
    root = ProgramId("tenant/program")
    answer = HistoryMessage(role="assistant", content="x" * record_bytes)
    record = JournalRecord(call_outcome=CallOutcome(answer=[answer]))
    head = TreeHead(1, 1, NodeId("node"), "", "")
    size = 0

    def run() -> None:
        nonlocal size
        for _ in range(appends):
            writes = batch_writes(root, 0, [record])
            assert writes is not None
            rows = [StoredRow(write.row, write.value, 1) for write in writes]
            assert decode_records(root, rows, head) is not None
            size = sum(len(write.value or b"") for write in writes)

    return AppendCost(record_bytes, median_seconds(appends, run), size)


def share_cost(nodes: int = NODES_PER_REGION, tenants: int = TENANTS) -> ShareCost:
    """Measure limit sharing with a full digest from every node, each for different tenants."""
    table = ShareTable(NodeId("node-0"), 0.0)
    digests = [
        UsageDigest(
            {(n * MAX_DIGEST_ENTRIES + k) % tenants: 0.5 for k in range(MAX_DIGEST_ENTRIES)}
        )
        for n in range(nodes)
    ]
    names = [NodeId(f"node-{n}") for n in range(nodes)]
    payloads = [encode(digest) for digest in digests]
    table.record_own_digest(digests[0], 0.0)
    for name, digest in zip(names[1:], digests[1:], strict=True):
        table.record_digest(name, digest, 0.0)
    now = PROPAGATION_SECONDS
    table.update(names, now)

    def compute_shares() -> None:
        for tenant in range(tenants):
            table.share(tenant, now)

    def record_digests() -> None:
        for name, payload in zip(names[1:], payloads[1:], strict=True):
            digest = decode(payload)
            assert digest is not None
            table.record_digest(name, digest, now)

    def update() -> None:
        table.update(names, now)

    return ShareCost(
        nodes,
        tenants,
        MAX_DIGEST_ENTRIES,
        max(map(len, payloads)),
        median_seconds(tenants, compute_shares),
        median_seconds(nodes - 1, record_digests),
        median_seconds(1, update),
    )


def query_cost(nodes: int = NODES_PER_REGION, workers: int = WORKERS_PER_NODE) -> QueryCost:
    """Measure a query for all workers of a region."""
    facts = [_facts(node, workers) for node in range(nodes)]
    size = sum(len(response.SerializeToString()) for response in facts)
    request = FactsRequest(workers=True).SerializeToString()

    def run() -> None:
        for _ in range(QUERIES):
            listed: list[WorkerStatus] = []
            for response in facts:
                assert FactsRequest.FromString(request).workers
                listed += FactsResponse.FromString(response.SerializeToString()).workers
            listed.sort(key=lambda worker: worker.worker)
            assert len(listed) == nodes * workers

    return QueryCost(nodes, nodes * workers, median_seconds(QUERIES, run), size)


def decision_costs(workers: Sequence[int], queues: Sequence[int]) -> list[dict[str, float]]:
    """Measure scheduling decisions; return the minimum over rounds, as they use the wall clock."""
    rounds = [measure_decisions(workers, queues) for _ in range(ROUNDS)]
    return [
        {name: min(asdict(cost)[name] for cost in costs) for name in asdict(costs[0])}
        for costs in zip(*rounds, strict=True)
    ]


def report(
    coordinator_workers: Sequence[int] = COORDINATOR_WORKERS,
    coordinator_queues: Sequence[int] = COORDINATOR_QUEUES,
) -> dict[str, object]:
    """Run every measurement and return the report."""
    return {
        "command": "python -m foxwinch.bench.unit_costs docs/measurements/unit_costs.json",
        "commit": current_commit(),
        "machine": {"processor": platform.processor() or platform.machine()},
        "rounds": ROUNDS,
        "journal_append": [append_cost(size)._asdict() for size in RECORD_BYTES],
        "limit_shares": asdict(share_cost()),
        "operator_query": asdict(query_cost()),
        "steward_decisions": decision_costs(coordinator_workers, coordinator_queues),
    }


def _facts(node: int, workers: int) -> FactsResponse:
    name = f"{node:032x}"
    status = NodeStatus(
        node=name, address=f"10.0.0.{node}:7000", zone="zone-1", region="region-1",
        state="alive", incarnation=1, answered=True, configuration_revision=9, held_families=1,
    )  # fmt: skip
    statuses = [
        WorkerStatus(
            worker=f"worker-{node}-{number}", pool="engines", zone="zone-1",
            url=f"http://10.1.{node}.{number}:8000", steward=name, epoch=1 << 32, state="ready",
            running=12, waiting=3, models=["model-0"],
        )
        for number in range(workers)
    ]  # fmt: skip
    return FactsResponse(node=status, workers=statuses)


def main(path: Path) -> None:
    """Write the report as JSON."""
    path.write_text(json.dumps(report(), indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main(Path(sys.argv[1]))
