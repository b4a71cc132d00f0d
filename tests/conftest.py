"""Fixtures shared by the tests of nodes, and the handling of known failures."""

from collections.abc import Callable

import pytest

import known_red
from foxwinch.gateway.authentication import hash_key
from foxwinch.settings.cluster import ClusterConfiguration

CALLER_KEY = "a-key-of-the-tests"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in `KNOWN-RED.txt` as expected failures."""
    entries = known_red.listed()
    for item in items:
        entry = known_red.entry_for(item.nodeid, entries)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests, so that their failures are not mistaken for passes.

    Of those that failed in this run, print the failure too: it may not be the listed one.
    """
    for entry in known_red.listed():
        terminalreporter.write_line(f"KNOWN-RED {entry.test}: {entry.seen} ({entry.issue})")
    for report in terminalreporter.getreports("xfailed"):
        for line in known_red.describe_failure(report.nodeid, report.longreprtext):
            terminalreporter.write_line(line)


@pytest.fixture
def caller_key() -> str:
    """Return the bearer key that is valid in `with_caller_key` documents."""
    return CALLER_KEY


@pytest.fixture
def with_caller_key() -> Callable[[ClusterConfiguration], ClusterConfiguration]:
    """Return a function that sets the tests' key for the first tenant of a document."""

    def add_key(document: ClusterConfiguration) -> ClusterConfiguration:
        first, *others = document.tenants
        tenant = first.model_copy(update={"key_hashes": (hash_key(CALLER_KEY),)})
        return document.model_copy(update={"tenants": (tenant, *others)})

    return add_key
