"""Answers of the stand-in engines: determined by program and history, and marked with both.

The first token of an answer is a marker that names the program, the length of the history and its
digest, so that a test can tell a lost or mixed history from the answer alone.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from foxwinch.backends.ports import GenerateRequest, Message
from foxwinch.core.prompt import (
    PromptMessage,
    block_hashes,
    count_tokens,
    render_message,
    render_prompt,
)
from foxwinch.identifiers import ProgramId

WORDS = ("the", "next", "train", "leaves", "at", "ten", "and", "seats", "are", "free")


@dataclass(frozen=True, slots=True)
class PlannedAnswer:
    """The whole answer to an order, known before it is produced."""

    tokens: tuple[str, ...]
    prompt_tokens: int
    block_hashes: tuple[int, ...]
    """Of the prompt followed by the answer as the next message of the history."""


def history_marker(program_id: ProgramId, messages: Sequence[Message]) -> str:
    """Return the marker that an answer to this history starts with."""
    return _marker(program_id, len(messages), render_prompt(map(_prompt_message, messages)))


def plan_answer(order: GenerateRequest, maximum_tokens: int) -> PlannedAnswer:
    """Return the answer to an order, at most `maximum_tokens` long."""
    prompt = render_prompt(map(_prompt_message, order.messages))
    count = max(1, min(order.maximum_tokens, maximum_tokens))
    marker = _marker(order.program_id, len(order.messages), prompt)
    words = (WORDS[index % len(WORDS)] + " " for index in range(count - 1))
    tokens = (marker, *words)
    answer = render_message(PromptMessage("assistant", "".join(tokens)))
    return PlannedAnswer(tokens, count_tokens(prompt), block_hashes(prompt + answer))


def _marker(program_id: ProgramId, length: int, prompt: bytes) -> str:
    digest = xxhash.xxh64_hexdigest(prompt)
    return f"[program={program_id} messages={length} digest={digest}] "


def _prompt_message(message: Message) -> PromptMessage:
    return PromptMessage(message.role, message.content)
