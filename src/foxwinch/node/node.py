"""One node: its parts wired together."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from foxwinch.backends.engine_http import HttpEngine
from foxwinch.commands.model_call import CallEvent, ModelCallPorts, run_model_call
from foxwinch.commands.requests import ModelCallRequest
from foxwinch.gateway.chat import ChatHandlers
from foxwinch.identifiers import WorkerId
from foxwinch.node.clock import SystemClock
from foxwinch.node.interfaces import ConfigurationView
from foxwinch.node.local import LocalConfiguration, LocalGrants, LocalJournal, LocalOwnership
from foxwinch.outcomes import Refused
from foxwinch.settings.cluster import ClusterConfiguration


@dataclass(frozen=True, slots=True)
class Node:
    """The wired parts of a node that its servers need."""

    configuration: ConfigurationView
    ports: ModelCallPorts

    def caller_application(self) -> web.Application:
        """Return the caller side."""
        application = web.Application(client_max_size=4 * 1024 * 1024)
        ChatHandlers(self.configuration, self._run).add_routes(application.router)
        return application

    def _run(self, request: ModelCallRequest) -> AsyncIterator[CallEvent]:
        return run_model_call(self.ports, request)


def build_single_node(document: ClusterConfiguration, session: aiohttp.ClientSession) -> Node:
    """Wire one node without fellow nodes; `session` is closed by the caller."""
    configuration = LocalConfiguration(document)
    clock = SystemClock()

    def url_of(worker: WorkerId) -> str | None:
        snapshot = configuration.current()
        if isinstance(snapshot, Refused):
            return None
        urls = (w.url for w in snapshot.document.workers if w.name == worker)
        return next(urls, None)

    ports = ModelCallPorts(
        clock=clock,
        ownership=LocalOwnership(),
        journal=LocalJournal(),
        grants=LocalGrants(configuration, clock),
        engine=HttpEngine(session, url_of),
    )
    return Node(configuration, ports)
