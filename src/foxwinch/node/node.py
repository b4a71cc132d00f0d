"""A node: assembly of its subsystems, and their ordered startup, drain and shutdown."""

import asyncio
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from prometheus_client import CollectorRegistry

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.clock import Clock, SystemClock
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.gateway.error_middleware import error_middleware
from foxwinch.identifiers import NodeId
from foxwinch.log import EventLog
from foxwinch.node.health import HealthHandlers
from foxwinch.node.parts.configuration import ConfigurationPart, build_configuration
from foxwinch.node.parts.context import DrainingService, NodeContext, NodeService
from foxwinch.node.parts.grants import GrantsPart, build_grants
from foxwinch.node.parts.membership import MembershipPart, build_membership
from foxwinch.node.parts.operator import OperatorPart, build_operator
from foxwinch.node.parts.programs import ProgramsPart, build_programs
from foxwinch.node.parts.records import RecordsPart, build_records
from foxwinch.node.ports import NodePorts
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings
from foxwinch.workers.worker_directory import WorkerDirectory

NODE_ID_SUFFIX_DIGITS = 12
"""Hexadecimal digits that distinguish restarts of a node with the same name."""
log = EventLog("node")


@dataclass(frozen=True, slots=True)
class NodeParts:
    """The subsystems of a node, in startup order."""

    membership: MembershipPart
    configuration: ConfigurationPart
    records: RecordsPart
    grants: GrantsPart
    programs: ProgramsPart
    operator: OperatorPart

    def services(self) -> tuple[NodeService, ...]:
        """Return all services in startup order."""
        return (
            *self.membership.services,
            *self.configuration.services,
            *self.grants.services,
            *self.programs.services,
        )


class Node:
    """A node on open ports; `NodeProcess` starts its listeners."""

    def __init__(self, context: NodeContext, parts: NodeParts) -> None:
        self.context = context
        self.parts = parts
        self.gate = context.gate
        self._started: list[NodeService] = []

    @property
    def configuration(self) -> ConfigurationView:
        """View of the active configuration."""
        return self.parts.configuration.configuration

    async def start(self) -> None:
        """Start all services in order; if one fails, stop those already started."""
        try:
            for service in self.parts.services():
                await service.start()
                self._started.append(service)
        except BaseException:
            await self.stop()
            raise
        log.info("node_started", node=self.context.node)

    async def stop(self) -> None:
        """Stop all started services in reverse order."""
        self.gate.close()
        while self._started:
            service = self._started.pop()
            await service.stop()
        log.info("node_stopped", node=self.context.node)

    async def drain(self) -> bool:
        """Reject new work, finish work in flight and hand over; return False on timeout."""
        self.gate.close()
        self.parts.membership.announce_leaving()
        log.info("drain_started", node=self.context.node, running=self.gate.running)
        try:
            async with asyncio.timeout(self.context.settings.drain_seconds):
                await self._hand_over()
        except TimeoutError:
            log.warning("drain_cut_short", node=self.context.node, running=self.gate.running)
            return False
        log.info("drain_finished", node=self.context.node)
        return True

    def caller_application(self) -> web.Application:
        """Return the HTTP application for callers."""
        limits = self.context.settings.caller_limits
        application = web.Application(
            client_max_size=limits.body_bytes,
            middlewares=[self.gate.middleware(), error_middleware()],
        )
        HealthHandlers(
            self.context.registry, self.parts.operator.readiness.not_ready_because
        ).add_routes(application.router)
        self.parts.programs.add_caller_routes(application.router)
        return application

    async def _hand_over(self) -> None:
        """Drain the subsystems in order, after all callers' requests at this node have ended.

        Programs are handed over first, each once its calls have ended: while calls of a program
        run here, peers forward its calls to this node. Workers follow after the last call that was
        granted here.
        """
        await self.gate.wait_idle()
        parts = self.parts
        for part in (parts.programs, parts.grants, parts.configuration):
            for service in part.services:
                if isinstance(service, DrainingService):
                    await service.drain()


def build_node(
    settings: NodeSettings,
    ports: NodePorts,
    proposed: ClusterConfiguration | None = None,
    registry: CollectorRegistry | None = None,
    node: NodeId | None = None,
) -> Node:
    """Build a node on open ports; nothing runs before `Node.start`.

    `proposed` is the configuration to propose if the cluster has none yet; `node` is the id that
    the peer endpoint was opened with.
    """
    context = NodeContext(
        node=node or new_node_id(settings, ports.clock),
        settings=settings,
        ports=ports,
        registry=registry or CollectorRegistry(),
        proposed=proposed,
    )
    membership = build_membership(context)
    configuration = build_configuration(context, membership)
    records = build_records(context)
    grants = build_grants(context, membership, configuration, records)
    programs = build_programs(context, membership, configuration, records, grants)
    operator = build_operator(context, membership, configuration, grants, programs)
    parts = NodeParts(membership, configuration, records, grants, programs, operator)
    return Node(context, parts)


def new_node_id(settings: NodeSettings, clock: Clock) -> NodeId:
    """Return a node id that is unique to this process: the name and a random suffix."""
    return NodeId(f"{settings.name}-{clock.identifier()[:NODE_ID_SUFFIX_DIGITS]}")


def build_single_node(document: ClusterConfiguration, session: aiohttp.ClientSession) -> Node:
    """Build a node without peers or platform; the caller closes `session`."""
    directory = WorkerDirectory()
    ports = NodePorts(clock=SystemClock(), engine=HttpEngine(session, directory.url_of))
    settings = NodeSettings(name="single", region=document.region, zone=document.zones[0])
    node = build_node(settings, ports, document)
    directory.follow(node.configuration)
    return node
