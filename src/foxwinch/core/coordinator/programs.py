"""State that the scheduler of a pool keeps for each program."""

from dataclasses import dataclass, field

from foxwinch.identifiers import ProgramId, WorkerId


@dataclass(slots=True)
class ProgramState:
    """One program."""

    program_id: ProgramId
    workers: dict[WorkerId, None] = field(default_factory=dict)
    """Workers that may hold cache blocks of the program, in order of first use."""
    hashes: tuple[int, ...] = ()
    """Prefix hashes of the latest call."""
    active_calls: int = 0
    """Number of queued or placed calls, including those of sub-agents."""
    step_began_at_seconds: float = 0.0
    """Arrival time of the first call in the current sequence of overlapping calls."""


class ProgramTable:
    """Programs by id."""

    def __init__(self) -> None:
        self._programs: dict[ProgramId, ProgramState] = {}

    def __len__(self) -> int:
        """Return the number of programs in the table."""
        return len(self._programs)

    def get(self, program_id: ProgramId) -> ProgramState | None:
        """Return a program, or None if it is unknown."""
        return self._programs.get(program_id)

    def get_or_create(self, program_id: ProgramId) -> ProgramState:
        """Return a program, adding it if it is unknown."""
        state = self._programs.get(program_id)
        if state is None:
            state = self._programs[program_id] = ProgramState(program_id)
        return state

    def forget(self, program_id: ProgramId) -> ProgramState | None:
        """Remove and return a program, or return None if it is unknown."""
        return self._programs.pop(program_id, None)
