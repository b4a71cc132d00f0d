"""The capacity page is what its script makes of the committed measurements."""

from pathlib import Path

import pytest

from foxwinch.bench.capacity.design import DesignSize
from foxwinch.bench.capacity.lines import COMPUTED, NOT_MEASURED, Line
from foxwinch.bench.capacity.page import number, render
from foxwinch.bench.capacity.units import overhead_lines
from foxwinch.bench.unit_costs import append_cost, query_cost, share_cost

ROOT = Path(__file__).parents[1]


def test_the_page_does_not_drift_from_the_measurements() -> None:
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert page == render(ROOT / "docs" / "measurements")


def test_without_measurements_the_page_says_so(tmp_path: Path) -> None:
    page = render(tmp_path)
    assert "| not measured |" in page
    assert "| measured |" not in page


def test_the_overhead_bench_gives_the_gateways_lines() -> None:
    cases = [
        {"outstanding": out, "chunks": chunks, "node": {"processor_seconds_per_request": cost}}
        for out, chunks, cost in ((1, 8, 9.0), (32, 8, 0.001), (32, 200, 0.00292))
    ]
    report = {"throughput_ratio": 0.4, "chunk_ratio": 0.6, "cases": cases}
    lines = overhead_lines(report, DesignSize(nodes=18_000))
    assert [line.value for line in lines[:3]] == [0.4, 0.6, None]
    assert lines[0].headroom == pytest.approx(0.8)  # a shortfall: below its goal
    assert lines[2].how == NOT_MEASURED
    # A request a second of 7,500,000 / 18,000 tokens, 10 us for each beyond the first 8.
    assert lines[-1].value == pytest.approx(0.001 + (7_500_000 / 18_000 - 8) * 1e-5)


def test_unit_costs_are_measured_and_their_parts_agree() -> None:
    append = append_cost(200, appends=20)
    assert append.request_bytes > 200 > append.reply_bytes > 0
    assert append.processor_seconds > 0
    share = share_cost(nodes=3, tenants=200)
    assert share.digest_bytes <= 400
    query = query_cost(nodes=3, workers=2)
    assert query.workers == 6
    assert query.answer_bytes > 0


def test_headroom_and_numbers() -> None:
    line = Line("r", "m", "q", 200.0, "B", COMPUTED, "-", limit=100.0)
    assert line.headroom == 0.5
    assert [number(v) for v in (None, 0, 1234.5, 12.345, 0.012345)] == [
        "-", "0", "1,234", "12.3", "0.0123",
    ]  # fmt: skip
