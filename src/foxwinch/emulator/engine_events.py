"""What goes into the model of an engine and what comes out of it."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ModelName, ProgramId

# --- into the engine -------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Submit:
    """A call to run."""

    call_id: CallId
    program_id: ProgramId
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    block_hashes: tuple[int, ...]
    """Chained hashes of the whole blocks of the prompt and of the answer, prompt first.

    The model knows in advance what the answer will be; an engine would hash it when done.
    """
    priority: int = 0
    """Lower is more urgent."""
    produced_tokens: int = 0
    """Tokens of the answer that the caller already has: a resumed call sends only what follows."""
    adapter: str = ""
    """Adapter that must be loaded, or empty."""


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Stop a call; unknown or finished calls are ignored."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class ReleaseProgram:
    """Free the blocks that only this program has used."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ProgramEnded:
    """Measurement only: from now on this program's own blocks count as held for the dead."""

    program_id: ProgramId


@dataclass(frozen=True, slots=True)
class ExportBlocks:
    """Read blocks out over the link; those that are not cached are left out."""

    transfer: str
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ImportBlocks:
    """Write blocks that another engine exported, over the link."""

    transfer: str
    program_id: ProgramId
    block_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a model (or, with `adapter`, an adapter of it) from the weight store."""

    token: str
    model: ModelName
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class UnloadModel:
    """Unload a model or an adapter; calls of it that wait are refused."""

    token: str
    model: ModelName
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class Tick:
    """Nothing but that time has come to `now`."""


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

# --- out of the engine -----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TokensProduced:
    """A running call has produced `tokens` more tokens at `at_seconds`."""

    call_id: CallId
    tokens: int
    at_seconds: float


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call has produced its whole answer."""

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
    """A call was not run: its model is not loaded, or it can never fit in memory."""

    call_id: CallId
    detail: str
    at_seconds: float


@dataclass(frozen=True, slots=True)
class BlocksExported:
    """The export is read; the hashes that were cached at its start."""

    transfer: str
    block_hashes: tuple[int, ...]
    at_seconds: float


@dataclass(frozen=True, slots=True)
class BlocksImported:
    """The import is written; `blocks` found room."""

    transfer: str
    blocks: int
    at_seconds: float


@dataclass(frozen=True, slots=True)
class OrderCompleted:
    """A load or unload is done."""

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
