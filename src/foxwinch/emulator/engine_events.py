"""Inputs and outputs of the engine model."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ModelName, ProgramId

# --- inputs ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Submit:
    """A call to run."""

    call_id: CallId
    program_id: ProgramId
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    block_hashes: tuple[int, ...]
    """Chained hashes of the full blocks of the prompt, then of the response.

    The model gets the response in advance; a real engine would hash it once it is generated.
    """
    priority: int = 0
    """Lower values are more urgent."""
    produced_tokens: int = 0
    """Response tokens that the caller already has; a resumed call sends only the following ones."""
    adapter: str = ""
    """Adapter that the call needs, or empty."""


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Stop a call; unknown or finished calls are ignored."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class ReleaseProgram:
    """Free the blocks that only this program uses."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """Count this program's own blocks as held for an ended program; affects statistics only."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ExportBlocks:
    """Read cached blocks over the link; blocks that are not cached are omitted."""

    transfer: str
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ImportBlocks:
    """Write blocks exported by another engine, over the link."""

    transfer: str
    program_id: ProgramId
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a model, or with `adapter` one of its adapters, from the weight store."""

    token: str
    model: ModelName
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class UnloadModel:
    """Unload a model or an adapter; waiting calls that need it are rejected."""

    token: str
    model: ModelName
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Advance the time without any other input."""


EngineInput = (
    Submit
    | CancelCall
    | ReleaseProgram
    | ProgramEnded
    | ExportBlocks
    | ImportBlocks
    | LoadModel
    | UnloadModel
    | Tick
)

# --- outputs ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TokensProduced:
    """A running call produced `tokens` more tokens at `at_seconds`."""

    call_id: CallId
    tokens: int
    at_seconds: float


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call produced its complete response."""

    call_id: CallId
    prompt_tokens: int
    cached_tokens: int
    """Prompt tokens found in the cache when the call first entered the batch."""
    completion_tokens: int
    at_seconds: float


@dataclass(frozen=True, slots=True)
class CallStopped:
    """A call was cancelled."""

    call_id: CallId
    at_seconds: float


@dataclass(frozen=True, slots=True)
class CallRejected:
    """A call was not run because its model is not loaded or it exceeds the cache capacity."""

    call_id: CallId
    detail: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class BlocksExported:
    """An export is complete; `block_hashes` are the leading blocks that were cached."""

    transfer: str
    block_hashes: tuple[int, ...]
    at_seconds: float


@dataclass(frozen=True, slots=True)
class BlocksImported:
    """An import is complete; `blocks` is the number of blocks for which there was room."""

    transfer: str
    blocks: int
    at_seconds: float


@dataclass(frozen=True, slots=True)
class OrderCompleted:
    """A load or unload is complete."""

    token: str
    at_seconds: float


EngineOutput = (
    TokensProduced
    | CallCompleted
    | CallStopped
    | CallRejected
    | BlocksExported
    | BlocksImported
    | OrderCompleted
)
