"""A call as one pool's scheduler sees it."""

from dataclasses import dataclass

from foxwinch.identifiers import CallId, ClassName, ModelName, ProgramId, TenantName, WorkerId


@dataclass(frozen=True, slots=True)
class PoolCall:
    """The fields of a grant request, with its class resolved from the configuration."""

    call_id: CallId
    program_id: ProgramId
    tenant: TenantName
    class_name: ClassName
    class_rank: int
    """0 is the most urgent."""
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    """Estimated length of the answer; at most this many are generated."""
    prefix_hashes: tuple[int, ...]
    """Chained hash of each whole block of the prompt, first block first."""
    service_seconds: float
    """Engine service that the program has received so far."""
    deadline_at_seconds: float
    """On the clock whose `now` is given with each event."""
    repeatable: bool = True
    tree_id: ProgramId | None = None
    """The program at the root of a tree of sub-agents; None for a program without a parent."""
    excluded_workers: tuple[WorkerId, ...] = ()
    """Workers that have already failed this call."""

    @property
    def tree(self) -> ProgramId:
        """The root program, which is the program itself when it has no parent."""
        return self.tree_id or self.program_id


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """What a worker can do."""

    worker: WorkerId
    models: tuple[ModelName, ...]
    slots: int
    """Calls in its batch at once."""
    cache_blocks: int
    block_tokens: int
