"""Whether a starting node knows an owner of every shard."""

from foxwinch.core.shard.placement import SHARDS_PER_REGION, shard_of
from foxwinch.identifiers import ProgramId, ShardNumber
from foxwinch.node.interfaces import OwnershipView
from foxwinch.outcomes import Refused


class ShardReadiness:
    """Becomes ready when every shard has had an owner, and stays so.

    A shard that is being taken over later makes no node unready: the others serve all other shards.
    """

    def __init__(self, ownership: OwnershipView) -> None:
        """Ask `ownership` about one program of each shard."""
        self._ownership = ownership
        self._missing = _one_program_of_each_shard()

    def missing(self) -> int:
        """Return how many shards have not had an owner yet."""
        found = [
            shard
            for shard, program_id in self._missing.items()
            if not isinstance(self._ownership.locate(program_id), Refused)
        ]
        for shard in found:
            del self._missing[shard]
        return len(self._missing)


def _one_program_of_each_shard() -> dict[ShardNumber, ProgramId]:
    programs: dict[ShardNumber, ProgramId] = {}
    number = 0
    while len(programs) < SHARDS_PER_REGION:
        program_id = ProgramId(f"readiness/{number}")
        programs.setdefault(shard_of(program_id), program_id)
        number += 1
    return programs
