"""Abandon a program that this node serves, at the request of an operator."""

from foxwinch.commands.end_program import end_program
from foxwinch.commands.operator import Accepted
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.served_tree import ServedTree
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.records.program_trees import OwnedElsewhere

ABANDON_REASON = "asked by an operator"
"""Reason stored in the journal."""


class AbandonCommand:
    """Implements `foxwinch.commands.operator.ProgramAbandonPort`."""

    def __init__(self, owner: ProgramOwner) -> None:
        """Abandon programs that `owner` serves."""
        self._owner = owner

    async def abandon(self, program_id: ProgramId) -> Accepted | Refused:
        """Cancel the program's calls, end its child programs and release its KV cache."""
        tree = await self._owner.locate(root_of(program_id))
        if isinstance(tree, Refused):
            return tree
        if isinstance(tree, OwnedElsewhere):
            return not_run(Reason.NOT_OWNER, "another node serves the program", 1.0)
        return await self._abandon_served(tree, program_id)

    async def _abandon_served(self, tree: ServedTree, program_id: ProgramId) -> Accepted | Refused:
        program = tree.table.find(program_id)
        if program is None:
            return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
        refused = await self._owner.run_shielded(
            end_program(self._owner.ports, tree, program, True, ABANDON_REASON)
        )
        return Accepted() if refused is None else refused
