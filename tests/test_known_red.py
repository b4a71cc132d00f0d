"""The list of tests that fail because of a known bug."""

import pytest

import known_red

TEXT = """
tests/test_a.py::test_one | pytest -k one | breaks off | issue 16
"""


def test_an_entry_matches_only_its_test_and_the_cases_of_it():
    entries = known_red.parse(TEXT)
    assert known_red.entry_for("tests/test_a.py::test_one", entries) == entries[0]
    assert known_red.entry_for("tests/test_a.py::test_one[case]", entries) == entries[0]
    assert known_red.entry_for("tests/test_a.py::test_one_more", entries) is None


@pytest.mark.parametrize("line", ["test", "test | command | seen", "test | command |  | issue 1"])
def test_a_line_with_a_missing_field_is_rejected(line):
    with pytest.raises(ValueError, match="needs test"):
        known_red.parse(line)


def test_the_end_of_a_failure_is_printed():
    failure = "\n".join(f"line {number}" for number in range(40))
    lines = known_red.describe_failure("tests/test_a.py::test_one", failure)
    assert lines[0] == "KNOWN-RED failed now: tests/test_a.py::test_one"
    assert lines[1:] == [f"  line {number}" for number in range(10, 40)]
