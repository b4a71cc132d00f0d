"""Calls and workers as seen by the scheduler of one pool."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ClassName, ModelName, ProgramId, TenantName, WorkerId


@dataclass(frozen=True, slots=True)
class PoolCall:
    """A grant request whose class has been resolved from the configuration."""

    call_id: CallId
    program_id: ProgramId
    tenant: TenantName
    class_name: ClassName
    class_rank: int
    """0 is the most urgent."""
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    """Estimated and maximum length of the answer."""
    prefix_hashes: tuple[int, ...]
    """Chained hash of each complete block of the prompt, in order."""
    service_seconds: float
    """Engine time consumed by the program so far."""
    deadline_at_seconds: float
    """Deadline on the clock that provides `now` of each event."""
    repeatable: bool = True
    tree_id: ProgramId | None = None
    """Root program of the sub-agent tree, or None for a program without a parent."""
    excluded_workers: tuple[WorkerId, ...] = ()
    """Workers on which this call has already failed."""

    @property
    def tree(self) -> ProgramId:
        """Root program, which is the program itself if it has no parent."""
        return self.tree_id or self.program_id


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """Capabilities of a worker."""

    worker: WorkerId
    models: tuple[ModelName, ...]
    slots: int
    """Maximum number of concurrent calls in the batch."""
    cache_blocks: int
    block_tokens: int
