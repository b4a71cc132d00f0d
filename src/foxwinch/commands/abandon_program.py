"""An operator abandons a program that this node serves."""

from foxwinch.commands.end_program import end_program
from foxwinch.commands.operator import Accepted
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.program_trees import OwnedElsewhere

OPERATOR_CAUSE = "asked by an operator"


class AbandonCommand:
    """Implements `foxwinch.commands.operator.ProgramAbandonPort`."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Abandon programs of the owner's program trees."""
        self._owner = owner

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Cancel the program's calls, end its child programs and release its engine memory."""
        held = await self._owner.locate(root_of(program_id))
        if isinstance(held, Refused):
            return held
        if isinstance(held, OwnedElsewhere):
            return not_run(Reason.NOT_OWNER, "another node serves the program", 1.0)
        return await self._abandon_held(held, program_id)

    async def _abandon_held(self, held: ServedTree, program_id: ProgramId) -> Accepted | Refused:
        program = held.table.find(program_id)
        if program is None:
            return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
        refused = await self._owner.run_apart(
            end_program(self._owner.ports, held, program, True, OPERATOR_CAUSE)
        )
        return Accepted() if refused is None else refused
