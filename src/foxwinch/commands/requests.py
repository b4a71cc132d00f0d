"""Typed requests of callers, after authentication and checking."""

from dataclasses import dataclass, field
from typing import Any

from foxwinch.backends.ports import Message
from foxwinch.identifiers import ModelName, ProgramId, TenantName


@dataclass(frozen=True, slots=True)
class ModelCallRequest:
    """A model call of a program."""

    tenant: TenantName
    program_id: ProgramId | None
    """None: a program of one call, finished with it."""
    model: ModelName
    messages: tuple[Message, ...]
    """The whole history with the new messages at its end, or only the new ones: see `append`."""
    append: bool
    """True: `messages` follow the program's history; False: they repeat it from its start."""
    maximum_tokens: int
    idempotency_key: str | None = None
    resume_offset: int = 0
    """Number of chunks that the caller already has of the answer under this key."""
    parameters: dict[str, Any] = field(default_factory=dict)
