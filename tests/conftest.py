"""Fixtures shared by tests of whole nodes."""

from collections.abc import Callable

import pytest

from foxwinch.gateway.authentication import hash_key
from foxwinch.settings.cluster import ClusterConfiguration

CALLER_KEY = "a-key-of-the-tests"


@pytest.fixture
def caller_key() -> str:
    """Return the bearer key that `keyed` documents know."""
    return CALLER_KEY


@pytest.fixture
def keyed() -> Callable[[ClusterConfiguration], ClusterConfiguration]:
    """Return a function that gives the first tenant of a document the tests' key."""

    def give_key(document: ClusterConfiguration) -> ClusterConfiguration:
        first, *others = document.tenants
        tenant = first.model_copy(update={"key_hashes": (hash_key(CALLER_KEY),)})
        return document.model_copy(update={"tenants": (tenant, *others)})

    return give_key
