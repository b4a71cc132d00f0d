"""What a pool's scheduler remembers of each program that has run here."""

from dataclasses import dataclass, field

from foxwinch.identifiers import ProgramId, WorkerId


@dataclass(slots=True)
class ProgramState:
    """One program."""

    program_id: ProgramId
    workers: dict[WorkerId, None] = field(default_factory=dict)
    """Workers that may hold cache of it."""
    hashes: tuple[int, ...] = ()
    """Prefix of its latest call."""
    active_calls: int = 0
    """Calls queued or placed, those of its sub-agents included."""
    step_began_at_seconds: float = 0.0
    """When the first of the calls now active, one after another or in parallel, arrived."""


class ProgramTable:
    """Programs by id."""

    def __init__(self) -> None:
        """Start empty."""
        self._programs: dict[ProgramId, ProgramState] = {}

    def __len__(self) -> int:
        """Return the number of programs remembered."""
        return len(self._programs)

    def get(self, program_id: ProgramId) -> ProgramState | None:
        """Return a known program."""
        return self._programs.get(program_id)

    def ensure(self, program_id: ProgramId) -> ProgramState:
        """Return a program, remembering it from now on."""
        state = self._programs.get(program_id)
        if state is None:
            state = self._programs[program_id] = ProgramState(program_id)
        return state

    def forget(self, program_id: ProgramId) -> ProgramState | None:
        """Remove a program."""
        return self._programs.pop(program_id, None)
