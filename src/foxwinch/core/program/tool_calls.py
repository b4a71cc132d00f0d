"""Merging of tool calls that a model streams in chunks."""

from collections.abc import Iterable
from typing import Any


def merge_tool_calls(chunks: Iterable[object]) -> list[dict[str, Any]]:
    """Merge streamed chunks in the chat-completions format into complete tool calls, by index."""
    merged: dict[int, dict[str, Any]] = {}
    for chunk in chunks:
        if not isinstance(chunk, dict):
            continue
        index = chunk.get("index", len(merged))
        tool_call = merged.setdefault(index, {"id": "", "type": "function", "function": {}})
        tool_call["id"] = chunk.get("id") or tool_call["id"]
        _merge_function(tool_call["function"], chunk.get("function") or {})
    return [merged[index] for index in sorted(merged)]


def _merge_function(function: dict[str, str], chunk: dict[str, Any]) -> None:
    for field in ("name", "arguments"):
        if chunk.get(field):
            function[field] = function.get(field, "") + chunk[field]
