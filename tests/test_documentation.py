"""Consistency of the documentation with the code: exit codes and links."""

import re
from pathlib import Path

import pytest

from foxwinch.cli.exit_codes import ExitCode

ROOT = Path(__file__).parents[1]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def test_exit_codes_are_documented():
    rows = re.findall(r"^\| (\d+) \| ([a-z ]+) \|", OPERATIONS, re.MULTILINE)
    documented = {int(number): name.replace(" ", "_").upper() for number, name in rows}
    assert documented == {code.value: code.name for code in ExitCode}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_files(page):
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8")):
        assert (page.parent / target).exists(), target
