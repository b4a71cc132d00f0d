"""What one node alone knows, as its parts report it to the operators' queries."""

from collections.abc import Sequence
from typing import Protocol

from foxwinch._generated.operator_pb2 import (
    ListProgramsRequest,
    NodeStatus,
    ProgramDetail,
    ProgramSummary,
    WorkerStatus,
)
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, not_run


class WorkerFacts(Protocol):
    """The workers that this node dispatches to."""

    def workers(self) -> Sequence[WorkerStatus]:
        """Return a status for each worker that this node is coordinator of."""
        ...


class ProgramFacts(Protocol):
    """The programs that this node serves."""

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return programs that match, one more than the limit when there are more."""
        ...

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program with its calls."""
        ...


class NodeFacts(Protocol):
    """This node itself."""

    def status(self) -> NodeStatus:
        """Return the node's own status."""
        ...


class NoWorkers:
    """A node that dispatches to no worker."""

    def workers(self) -> Sequence[WorkerStatus]:
        """Return none."""
        return ()


class NoPrograms:
    """A node that serves no program."""

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return none."""
        return ()

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Refuse: not found."""
        return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
