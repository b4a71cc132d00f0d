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
