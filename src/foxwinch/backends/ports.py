"""Ports to the backends, that is model engines and tools.

Each port is implemented by one adapter module, so that support for another engine API changes only
that module.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from foxwinch.identifiers import CallId, Epoch, ModelName, ProgramId, ToolName, WorkerId
from foxwinch.outcomes import Refused

JsonValue = Any
"""A JSON value passed through unchanged."""


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a history, in the chat-completions format."""

    role: str
    content: str
    extra: dict[str, JsonValue] = field(default_factory=dict)
    """Further fields passed through, such as `tool_calls`, `tool_call_id` or `name`."""


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request to generate one response on a worker."""

    call_id: CallId
    program_id: ProgramId
    model: ModelName
    messages: tuple[Message, ...]
    maximum_tokens: int
    priority: int
    """Lower is more urgent, as in the engines."""
    epoch: Epoch
    """Epoch of the coordinator that granted the worker; the engine rejects an older one."""
    parameters: dict[str, JsonValue] = field(default_factory=dict)
    """Sampling parameters passed through unchanged."""
    resume_offset: int = 0
    """Number of chunks of this call that were already received; the engine sends the rest."""
    deadline_seconds: float | None = None
    """Remaining time of the call; limits how long the worker may be unresponsive."""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """One chunk of a streamed response."""

    text: str
    tokens: int
    """Number of tokens in this chunk."""
    tool_calls: tuple[JsonValue, ...] = ()


@dataclass(frozen=True, slots=True)
class GenerateFinished:
    """The end of a streamed response, with its usage."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    """Prompt tokens that were found in the engine's prefix cache."""
    completion_tokens: int


EngineEvent = TokenChunk | GenerateFinished | Refused


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a worker reported; may be stale."""

    running: int
    waiting: int
    cache_blocks_used: int
    cache_blocks_total: int
    models: tuple[ModelName, ...]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a worker's prefix cache; events arrive late and may be lost."""

    sequence: int
    kind: str
    """`stored`, `removed` or `cleared`."""
    block_hashes: tuple[int, ...]
    parent_hash: int | None = None


@dataclass(frozen=True, slots=True)
class CacheEventPage:
    """The cache events after a sequence number."""

    events: tuple[CacheEvent, ...]
    next_sequence: int
    gap: bool
    """True if events after the requested number were lost; the reader must resynchronize."""


@dataclass(frozen=True, slots=True)
class ModelOrder:
    """A fenced order to a worker to change its models, adapters, version or role."""

    token: str
    epoch: Epoch
    kind: str
    """`load`, `unload`, `load_adapter`, `unload_adapter`, `set_version` or `set_role`."""
    model: ModelName
    value: str = ""
    """Adapter, version or role, if the kind requires one."""


@dataclass(frozen=True, slots=True)
class Completed:
    """Success of an idempotent operation, now or earlier."""


class GeneratePort(Protocol):
    """Generation of responses by model engines."""

    def generate(self, worker: WorkerId, request: GenerateRequest) -> AsyncIterator[EngineEvent]:
        """Stream a response; the last event is `GenerateFinished` or `Refused`.

        Closing the iterator early cancels the call in the engine.
        """
        ...


class EnginePort(GeneratePort, Protocol):
    """Operations of model engines."""

    async def cancel(self, worker: WorkerId, call_id: CallId) -> Completed | Refused:
        """Cancel a call; returns `Completed` also for an unknown or finished call."""
        ...

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """Free the cache that only this program uses."""
        ...

    async def load(self, worker: WorkerId) -> LoadReport | Refused:
        """Read the worker's load, which may be stale."""
        ...

    async def cache_events(self, worker: WorkerId, after: int) -> CacheEventPage | Refused:
        """Read the cache events with a sequence number greater than `after`."""
        ...

    async def export_cache(self, worker: WorkerId, program_id: ProgramId) -> bytes | Refused:
        """Export the cache entries of a program in the engine's own format."""
        ...

    async def import_cache(
        self, worker: WorkerId, program_id: ProgramId, data: bytes
    ) -> Completed | Refused:
        """Import cache entries that another worker exported."""
        ...

    async def apply_order(self, worker: WorkerId, order: ModelOrder) -> Completed | Refused:
        """Apply a fenced order; refused as `FENCED` if the worker has seen a newer epoch."""
        ...


@dataclass(frozen=True, slots=True)
class ToolRequest:
    """A request to call a tool."""

    call_id: CallId
    program_id: ProgramId
    tool: ToolName
    arguments: JsonValue
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ToolResult:
    """The complete response of a tool."""

    content: str


class ToolPort(Protocol):
    """Operations of tool services."""

    async def call(self, request: ToolRequest) -> ToolResult | Refused:
        """Call a tool once; the run state of a refusal states whether it may have run."""
        ...
