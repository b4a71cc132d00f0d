"""Ports by which a node's components report their state to operator queries."""

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
    """Reports the workers that this node coordinates."""

    def workers(self) -> Sequence[WorkerStatus]:
        """Return the status of each worker."""
        ...


class ProgramFacts(Protocol):
    """Reports the programs that this node serves."""

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return the matching programs, up to one more than the request's limit."""
        ...

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Return one program with its calls."""
        ...


class NodeFacts(Protocol):
    """Reports the node itself."""

    def status(self) -> NodeStatus:
        """Return the node's status."""
        ...


class NoWorkers:
    """A node that coordinates no workers."""

    def workers(self) -> Sequence[WorkerStatus]:
        """Return an empty sequence."""
        return ()


class NoPrograms:
    """A node that serves no program."""

    def programs(self, request: ListProgramsRequest) -> Sequence[ProgramSummary]:
        """Return an empty sequence."""
        return ()

    async def program(self, program_id: ProgramId) -> ProgramDetail | Refused:
        """Refuse with `NOT_FOUND`."""
        return not_run(Reason.NOT_FOUND, f"program {program_id} is not known")
