"""Handlers of the operator service: each runs one query or command for a request."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, TypeVar

from google.protobuf.message import Message
from grpclib.server import Stream

from foxwinch._generated import operator_pb2 as pb
from foxwinch._generated.operator_grpc import OperatorBase
from foxwinch.commands.apply_configuration import ApplyConfiguration
from foxwinch.commands.operator import OperatorCommands
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.identifiers import NodeId, ProgramId, Revision, WorkerId
from foxwinch.operator.refusals import metadata_of, status_of
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.queries.cluster import ClusterQueries
from foxwinch.queries.configuration import NodeRevision
from foxwinch.queries.configuration_difference import differences, parse_document
from foxwinch.settings.base import SettingsError

Request = TypeVar("Request", bound=Message)
Response = TypeVar("Response", bound=Message)


class OperatorHandlers(OperatorBase):
    """Implementation of the gRPC service `foxwinch.v1.Operator`."""

    def __init__(
        self,
        configuration: ConfigurationView,
        queries: ClusterQueries,
        commands: OperatorCommands,
        revisions_at_nodes: Callable[[], Awaitable[Sequence[NodeRevision]]],
    ) -> None:
        """Serve requests with `queries` and `commands`."""
        self._revisions_at_nodes = revisions_at_nodes
        self._configuration = configuration
        self._queries = queries
        self._commands = commands

    async def ListNodes(self, stream: Stream[Any, Any]) -> None:
        """Return all known nodes."""
        await _serve_unary(stream, self._list_nodes)

    async def ListWorkers(self, stream: Stream[Any, Any]) -> None:
        """Return the workers of all coordinators."""
        await _serve_unary(stream, lambda request: self._queries.workers())

    async def ListPrograms(self, stream: Stream[Any, Any]) -> None:
        """Return the programs that match the filter."""
        await _serve_unary(stream, self._queries.programs)

    async def ShowProgram(self, stream: Stream[Any, Any]) -> None:
        """Return the details of one program."""
        await _serve_unary(stream, self._show_program)

    async def GetConfiguration(self, stream: Stream[Any, Any]) -> None:
        """Return the active configuration of this node."""
        await _serve_unary(stream, self._get_configuration)

    async def CheckConfiguration(self, stream: Stream[Any, Any]) -> None:
        """Validate a configuration document and return its problems."""
        await _serve_unary(stream, self._check_configuration)

    async def DiffConfiguration(self, stream: Stream[Any, Any]) -> None:
        """Return the differences between a document and the active configuration."""
        await _serve_unary(stream, self._diff_configuration)

    async def GetConfigurationStatus(self, stream: Stream[Any, Any]) -> None:
        """Return the configuration revision of each node."""
        await _serve_unary(stream, self._configuration_status)

    async def DrainNode(self, stream: Stream[Any, Any]) -> None:
        """Start the drain and shutdown of a node."""
        await _serve_unary(stream, self._drain_node)

    async def DrainWorker(self, stream: Stream[Any, Any]) -> None:
        """Take a worker out of service."""
        await _serve_unary(stream, self._drain_worker)

    async def AbandonProgram(self, stream: Stream[Any, Any]) -> None:
        """Abandon a program."""
        await _serve_unary(stream, self._abandon_program)

    async def ApplyConfiguration(self, stream: Stream[Any, Any]) -> None:
        """Make a document the active configuration."""
        await _serve_unary(stream, self._apply_configuration)

    async def _list_nodes(self, request: pb.ListNodesRequest) -> pb.ListNodesResponse:
        return pb.ListNodesResponse(nodes=await self._queries.nodes())

    async def _show_program(
        self, request: pb.ShowProgramRequest
    ) -> pb.ShowProgramResponse | Refused:
        detail = await self._queries.program(ProgramId(request.program_id))
        return detail if isinstance(detail, Refused) else pb.ShowProgramResponse(program=detail)

    async def _get_configuration(
        self, request: pb.GetConfigurationRequest
    ) -> pb.GetConfigurationResponse | Refused:
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return snapshot
        return pb.GetConfigurationResponse(
            revision=snapshot.revision, document_json=snapshot.document.model_dump_json()
        )

    async def _check_configuration(
        self, request: pb.CheckConfigurationRequest
    ) -> pb.CheckConfigurationResponse:
        document = parse_document(request.document_json)
        problems = document.problems if isinstance(document, SettingsError) else ()
        return pb.CheckConfigurationResponse(problems=problems)

    async def _diff_configuration(
        self, request: pb.DiffConfigurationRequest
    ) -> pb.DiffConfigurationResponse | Refused:
        document = parse_document(request.document_json)
        if isinstance(document, SettingsError):
            return not_run(Reason.INVALID_REQUEST, str(document))
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return snapshot
        items = [
            pb.ConfigurationDifference(
                path=item.path, in_force_json=item.in_force or "", proposed_json=item.proposed or ""
            )
            for item in differences(snapshot, document)
        ]
        return pb.DiffConfigurationResponse(revision=snapshot.revision, differences=items)

    async def _configuration_status(
        self, request: pb.GetConfigurationStatusRequest
    ) -> pb.GetConfigurationStatusResponse:
        nodes = [_node_revision(row) for row in await self._revisions_at_nodes()]
        newest = max((max(n.held_revision, n.heard_revision) for n in nodes), default=0)
        return pb.GetConfigurationStatusResponse(newest_revision=newest, nodes=nodes)

    async def _drain_node(self, request: pb.DrainNodeRequest) -> pb.DrainNodeResponse | Refused:
        outcome = await self._commands.drain_node(NodeId(request.node))
        return outcome if isinstance(outcome, Refused) else pb.DrainNodeResponse(node=request.node)

    async def _drain_worker(
        self, request: pb.DrainWorkerRequest
    ) -> pb.DrainWorkerResponse | Refused:
        outcome = await self._commands.drain_worker(WorkerId(request.worker))
        if isinstance(outcome, Refused):
            return outcome
        return pb.DrainWorkerResponse(worker=request.worker)

    async def _abandon_program(
        self, request: pb.AbandonProgramRequest
    ) -> pb.AbandonProgramResponse | Refused:
        outcome = await self._commands.abandon_program(ProgramId(request.program_id))
        if isinstance(outcome, Refused):
            return outcome
        return pb.AbandonProgramResponse(program_id=request.program_id)

    async def _apply_configuration(
        self, request: pb.ApplyConfigurationRequest
    ) -> pb.ApplyConfigurationResponse | Refused:
        document = parse_document(request.document_json)
        if isinstance(document, SettingsError):
            return not_run(Reason.INVALID_REQUEST, str(document))
        outcome = await self._commands.apply_configuration(
            ApplyConfiguration(
                request.token, Revision(request.expected_revision), document, request.repeated
            )
        )
        if isinstance(outcome, Refused):
            return outcome
        return pb.ApplyConfigurationResponse(revision=outcome.revision)


def _node_revision(row: NodeRevision) -> pb.NodeRevision:
    return pb.NodeRevision(
        node=row.node,
        zone=row.zone,
        state=row.state.value,
        answered=row.held is not None,
        held_revision=row.held or 0,
        heard_revision=row.heard or 0,
        serving=row.serving,
    )


async def _serve_unary(
    stream: Stream[Any, Any], handler: Callable[[Request], Awaitable[Response | Refused]]
) -> None:
    """Read the request of a unary call, and send the response or a refusal."""
    request = await stream.recv_message()
    if request is None:
        refused = not_run(Reason.INVALID_REQUEST, "the request has no message")
        await _refuse(stream, refused)
        return
    outcome = await handler(request)
    if isinstance(outcome, Refused):
        await _refuse(stream, outcome)
    else:
        await stream.send_message(outcome)


async def _refuse(stream: Stream[Any, Any], refused: Refused) -> None:
    await stream.send_initial_metadata()
    await stream.send_trailing_metadata(
        status=status_of(refused), status_message=refused.detail, metadata=metadata_of(refused)
    )
