"""The capacity page is what its script makes of the committed measurements."""

from pathlib import Path

from foxwinch.bench.capacity.lines import COMPUTED, Line
from foxwinch.bench.capacity.page import number, render

ROOT = Path(__file__).parents[1]


def test_the_page_does_not_drift_from_the_measurements() -> None:
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
    assert page == render(ROOT / "docs" / "measurements")


def test_without_measurements_the_page_says_so(tmp_path: Path) -> None:
    page = render(tmp_path)
    assert "| not measured |" in page
    assert "| measured |" not in page


def test_headroom_and_numbers() -> None:
    line = Line("r", "m", "q", 200.0, "B", COMPUTED, "-", limit=100.0)
    assert line.headroom == 0.5
    assert [number(v) for v in (None, 0, 1234.5, 12.345, 0.012345)] == [
        "-", "0", "1,234", "12.3", "0.0123",
    ]  # fmt: skip
