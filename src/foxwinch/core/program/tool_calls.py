"""Merging of tool calls that a model streams in chunks."""

from collections.abc import Iterable
from typing import Any


def merge_tool_calls(pieces: Iterable[object]) -> list[dict[str, Any]]:
    """Merge streamed chunks in the chat-completions format into complete tool calls, by index."""
    merged: dict[int, dict[str, Any]] = {}
    for piece in pieces:
        if not isinstance(piece, dict):
            continue
        index = piece.get("index", len(merged))
        held = merged.setdefault(index, {"id": "", "type": "function", "function": {}})
        held["id"] = piece.get("id") or held["id"]
        _merge_function(held["function"], piece.get("function") or {})
    return [merged[index] for index in sorted(merged)]


def _merge_function(held: dict[str, str], piece: dict[str, Any]) -> None:
    for field in ("name", "arguments"):
        if piece.get(field):
            held[field] = held.get(field, "") + piece[field]
