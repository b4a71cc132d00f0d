"""Prompt rendering, token counting and prefix block hashes, shared by nodes and emulated engines.

Nodes estimate token counts with it and identify cached prefixes by it
(`GrantRequest.prefix_hashes`); the emulated engines use it as their tokenizer. An engine with a
different tokenizer needs a separate module.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

TOKEN_BYTES = 4
"""Mean token length of current tokenizers for European text in UTF-8."""
BLOCK_TOKENS = 64
"""Tokens per cache block; must equal `block_tokens` of the engines."""
BLOCK_BYTES = TOKEN_BYTES * BLOCK_TOKENS


@dataclass(frozen=True, slots=True)
class PromptMessage:
    """The parts of a message that appear in the prompt."""

    role: str
    content: str


def render_message(message: PromptMessage) -> bytes:
    """Return the bytes that a message adds to a prompt."""
    return f"<{message.role}>\n{message.content}\n".encode()


def render_prompt(messages: Iterable[PromptMessage]) -> bytes:
    """Return the prompt of a history; the prompt of a history's prefix is a prefix of it."""
    return b"".join(map(render_message, messages))


def count_tokens(data: bytes) -> int:
    """Return the number of tokens, rounded up."""
    return -(-len(data) // TOKEN_BYTES)


def block_hashes(data: bytes) -> tuple[int, ...]:
    """Return the chained hashes of all complete blocks, in order."""
    hashes = []
    previous = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        previous = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], previous)
        hashes.append(previous)
    return tuple(hashes)
