"""How a history becomes prompt bytes, tokens and block hashes: the same for nodes and engines.

Nodes estimate with it and name cached prefixes by it (`GrantRequest.prefix_hashes`); the stand-in
engines use it as their tokenizer. An engine with another tokenizer needs another module here.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

TOKEN_BYTES = 4
"""Mean length of a token of European text in UTF-8, as tokenizers of today have it."""
BLOCK_TOKENS = 64
"""Tokens of one cache block; equals `block_tokens` of the engines."""
BLOCK_BYTES = TOKEN_BYTES * BLOCK_TOKENS


@dataclass(frozen=True, slots=True)
class PromptMessage:
    """A message as far as the prompt is concerned."""

    role: str
    content: str


def render_message(message: PromptMessage) -> bytes:
    """Return the bytes that a message adds to a prompt."""
    return f"<{message.role}>\n{message.content}\n".encode()


def render_prompt(messages: Iterable[PromptMessage]) -> bytes:
    """Return the prompt of a history; a longer history's prompt starts with a shorter one's."""
    return b"".join(map(render_message, messages))


def count_tokens(data: bytes) -> int:
    """Return the number of tokens, the last one perhaps in part."""
    return -(-len(data) // TOKEN_BYTES)


def block_hashes(data: bytes) -> tuple[int, ...]:
    """Return the chained hash of each whole block, first block first."""
    hashes = []
    previous = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        previous = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], previous)
        hashes.append(previous)
    return tuple(hashes)
