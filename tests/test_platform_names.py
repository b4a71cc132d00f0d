"""Only `platform/` and the emulator use the platform's names of headers and fields."""

import ast
from pathlib import Path

import pytest

from foxwinch.platform import names

SOURCES = Path(__file__).parents[1] / "src" / "foxwinch"
ALLOWED_PACKAGES = ("platform", "emulator", "_generated")
FIELD_NAMES = (
    "rows-tx",
    "rows-get",
    "rows-feed",
    "tls_key",
    "if_rev",
    "FOXWINCH_CONFIG",
    "path_prefix",
)
SHARED_WITH_HTTP = {names.RETRY_AFTER}
FILES = [
    path
    for path in sorted(SOURCES.rglob("*.py"))
    if path.relative_to(SOURCES).parts[0] not in ALLOWED_PACKAGES
]


def headers():
    """Return the platform's header names."""
    header_names = {
        value for value in vars(names).values() if isinstance(value, str) and "-" in value
    }
    return {
        value for value in header_names if " " not in value and value[0].isupper()
    } - SHARED_WITH_HTTP


def strings(path):
    """Return every string literal of a module, except docstrings."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    docstrings = {
        node.body[0].value
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    return {
        node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node not in docstrings
    }


def test_the_platform_has_header_names():
    assert "Token-Budget" in headers()
    assert FILES


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(SOURCES)))
def test_no_other_module_uses_the_platforms_names(path):
    assert not strings(path) & (headers() | set(FIELD_NAMES))
