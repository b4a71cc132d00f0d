"""Ports to the back ends: what the rest of foxwinch knows of engines and tools.

An adapter implements a port in one file, so that another dialect of engine replaces only that file.
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
    """One message of a history, in the widely used chat-completions shape."""

    role: str
    content: str
    extra: dict[str, JsonValue] = field(default_factory=dict)
    """Further fields passed through, such as `tool_calls`, `tool_call_id` or `name`."""


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """An order to generate one answer on one worker."""

    call_id: CallId
    program_id: ProgramId
    model: ModelName
    messages: tuple[Message, ...]
    maximum_tokens: int
    priority: int
    """Lower is more urgent, as the engines have it."""
    epoch: Epoch
    """Epoch of the coordinator that granted the worker; the engine refuses an older one."""
    parameters: dict[str, JsonValue] = field(default_factory=dict)
    """Sampling parameters passed through unchanged."""
    resume_offset: int = 0
    """Number of chunks already received of this very call; the engine sends what follows."""
    deadline_seconds: float | None = None
    """What is left of the call's deadline; bounds how long the worker may be silent."""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """One piece of a streamed answer."""

    text: str
    tokens: int
    """Number of tokens in this piece."""
    tool_calls: tuple[JsonValue, ...] = ()


@dataclass(frozen=True, slots=True)
class GenerateFinished:
    """The end of a streamed answer and its usage."""

    finish_reason: str
    prompt_tokens: int
    cached_tokens: int
    """Prompt tokens that were found in the engine's prefix cache."""
    completion_tokens: int


EngineEvent = TokenChunk | GenerateFinished | Refused


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one worker as it reports it, with a lag."""

    running: int
    waiting: int
    cache_blocks_used: int
    cache_blocks_total: int
    models: tuple[ModelName, ...]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a worker's prefix cache, as the engine publishes it: late and with gaps."""

    sequence: int
    kind: str
    """`stored`, `removed` or `cleared`."""
    block_hashes: tuple[int, ...]
    parent_hash: int | None = None


@dataclass(frozen=True, slots=True)
class CacheEventPage:
    """Cache events after a sequence number."""

    events: tuple[CacheEvent, ...]
    next_sequence: int
    gap: bool
    """True when events between the asked and the first given were lost: resync."""


@dataclass(frozen=True, slots=True)
class ModelOrder:
    """A fenced order to a worker: load, unload, adapter, version or role."""

    token: str
    epoch: Epoch
    kind: str
    """`load`, `unload`, `load_adapter`, `unload_adapter`, `set_version` or `set_role`."""
    model: ModelName
    value: str = ""
    """Adapter, version or role, where the kind needs one."""


@dataclass(frozen=True, slots=True)
class Completed:
    """An order or release was carried out (or had been before: orders are idempotent)."""


class GeneratePort(Protocol):
    """Generation of answers by model engines."""

    def generate(self, worker: WorkerId, order: GenerateRequest) -> AsyncIterator[EngineEvent]:
        """Stream an answer; the last event is `GenerateFinished` or `Refused`.

        Closing the iterator early cancels the engine's work on the call.
        """
        ...


class EnginePort(GeneratePort, Protocol):
    """What foxwinch asks of model engines."""

    async def cancel(self, worker: WorkerId, call_id: CallId) -> Completed | Refused:
        """Cancel a call; cancelling an unknown or finished call is `Completed`."""
        ...

    async def release(self, worker: WorkerId, program_id: ProgramId) -> Completed | Refused:
        """Free the cache that is held only for this program."""
        ...

    async def load(self, worker: WorkerId) -> LoadReport | Refused:
        """Read the worker's lagging load."""
        ...

    async def cache_events(self, worker: WorkerId, after: int) -> CacheEventPage | Refused:
        """Read cache events with a sequence number greater than `after`."""
        ...

    async def export_cache(self, worker: WorkerId, program_id: ProgramId) -> bytes | Refused:
        """Read the cache entries of a program in the engine's own format."""
        ...

    async def import_cache(
        self, worker: WorkerId, program_id: ProgramId, data: bytes
    ) -> Completed | Refused:
        """Give a worker cache entries that another one exported."""
        ...

    async def apply_order(self, worker: WorkerId, order: ModelOrder) -> Completed | Refused:
        """Carry out a fenced order; an older epoch than the worker has seen is `FENCED`."""
        ...


@dataclass(frozen=True, slots=True)
class ToolRequest:
    """One call of a tool."""

    call_id: CallId
    program_id: ProgramId
    tool: ToolName
    arguments: JsonValue
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class ToolResult:
    """A tool's whole answer."""

    content: str


class ToolPort(Protocol):
    """What foxwinch asks of tool services."""

    async def call(self, order: ToolRequest) -> ToolResult | Refused:
        """Run a tool once; the refusal's run state tells whether it may have run."""
        ...
