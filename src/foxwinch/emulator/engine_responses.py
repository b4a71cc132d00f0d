"""Responses of the emulated engines, determined by program and history.

The first token of a response is a marker with the program, the length of the history and its
digest, so that a test can detect a lost or mixed-up history from the response alone.
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
class PlannedResponse:
    """The complete response to a request, known before it is produced."""

    tokens: tuple[str, ...]
    prompt_tokens: int
    block_hashes: tuple[int, ...]
    """Hashes of the prompt followed by the response as the next message of the history."""


def history_marker(program_id: ProgramId, messages: Sequence[Message]) -> str:
    """Return the marker that starts a response to this history."""
    return _marker(program_id, len(messages), render_prompt(map(_prompt_message, messages)))


def plan_response(request: GenerateRequest, maximum_tokens: int) -> PlannedResponse:
    """Return the response to a request, limited to `maximum_tokens`."""
    prompt = render_prompt(map(_prompt_message, request.messages))
    count = max(1, min(request.maximum_tokens, maximum_tokens))
    marker = _marker(request.program_id, len(request.messages), prompt)
    filler = (WORDS[index % len(WORDS)] + " " for index in range(count - 1))
    tokens = (marker, *filler)
    response = render_message(PromptMessage("assistant", "".join(tokens)))
    return PlannedResponse(tokens, count_tokens(prompt), block_hashes(prompt + response))


def _marker(program_id: ProgramId, length: int, prompt: bytes) -> str:
    digest = xxhash.xxh64_hexdigest(prompt)
    return f"[program={program_id} messages={length} digest={digest}] "


def _prompt_message(message: Message) -> PromptMessage:
    return PromptMessage(message.role, message.content)
