"""Message histories in a canonical form, in which equal messages compare equal."""

import json
from collections.abc import Sequence
from typing import Any

from foxwinch._generated.journal_pb2 import HistoryMessage

MESSAGE_OVERHEAD_TOKENS = 8
"""Upper bound on the tokens that a chat template adds to each message."""


def encode_message(message: dict[str, Any]) -> HistoryMessage:
    """Return the canonical form of a message in the chat-completions format.

    Null fields count as absent; content that is not a string is stored with the extra fields.
    """
    content = message.get("content")
    extra = {
        name: value
        for name, value in message.items()
        if name not in ("role", "content") and value is not None
    }
    if content is not None and not isinstance(content, str):
        extra["content"] = content
    return HistoryMessage(
        role=message["role"],
        content=content if isinstance(content, str) else "",
        extra_json=canonical_json(extra) if extra else "",
    )


def decode_message(message: HistoryMessage) -> dict[str, Any]:
    """Return a message in the chat-completions format."""
    document: dict[str, Any] = {"role": message.role, "content": message.content}
    if message.extra_json:
        document.update(json.loads(message.extra_json))
    return document


def canonical_json(value: object) -> str:
    """Return JSON with sorted keys and without whitespace."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def first_difference(
    history: Sequence[HistoryMessage], messages: Sequence[HistoryMessage]
) -> int | None:
    """Return the first index at which `messages` differs from `history`.

    Return None if `history` is a prefix of `messages`.
    """
    for index, expected_message in enumerate(history):
        if index >= len(messages) or expected_message != messages[index]:
            return index
    return None


def token_bound(messages: Sequence[HistoryMessage]) -> int:
    """Return an upper bound on the tokens of messages; a token has at least one byte."""
    return sum(
        len(message.content.encode()) + len(message.extra_json.encode()) + MESSAGE_OVERHEAD_TOKENS
        for message in messages
    )


def size_bytes(messages: Sequence[HistoryMessage]) -> int:
    """Return the size of messages as stored in the journal, in bytes."""
    return sum(len(m.content.encode()) + len(m.extra_json.encode()) for m in messages)
