"""Carry a request out here, or send it on to the node that owns its program."""

from collections.abc import AsyncIterator

from foxwinch.commands.execute import ProgramExecutor
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.held_shard import HeldShard
from foxwinch.commands.program_owner import IDLE_POLL_SECONDS, ProgramOwner
from foxwinch.commands.requests import ProgramRequest
from foxwinch.commands.views import one_event
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import SINGLE_CALL_PREFIX, root_of, scoped
from foxwinch.identifiers import TenantName
from foxwinch.node.interfaces import OwnedBy
from foxwinch.outcomes import Reason, Refused, not_run

NAME_TRIES = 8
"""Fresh names tried until one is owned here; the last one is taken wherever it is owned."""
NOT_OWNER_RETRY_SECONDS = 1.0


class ProgramRouter:
    """The way into the programs of a cluster from one node."""

    def __init__(self, owner: ProgramOwner, forwarder: Forwarder | None) -> None:
        """Forward by `forwarder`; without one this node serves only what it owns."""
        self._owner = owner
        self._executor = ProgramExecutor(owner)
        self._forwarder = forwarder
        if forwarder is not None:
            forwarder.serve(self.execute_here)

    def execute(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Start a request and iterate over its events."""
        located = self._owner.locate(root_of(request.program_id))
        if isinstance(located, HeldShard):
            return self._executor.execute(located, request)
        if isinstance(located, OwnedBy) and self._forwarder is not None:
            return self._forwarder.forward(located.address, request)
        return one_event(located if isinstance(located, Refused) else _not_owner())

    def execute_here(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Start a request that another node sent on; it is never sent on again."""
        located = self._owner.locate(root_of(request.program_id))
        if isinstance(located, HeldShard):
            return self._executor.execute(located, request)
        return one_event(located if isinstance(located, Refused) else _not_owner())

    async def wait_sent(self) -> None:
        """Return when every answer to a request that another node sent on is sent."""
        while self._forwarder is not None and self._forwarder.served:
            await self._owner.ports.clock.sleep(IDLE_POLL_SECONDS)

    def new_program_name(self, tenant: str) -> str:
        """Return a fresh name whose program this node owns, where one is found quickly."""
        name = ""
        for _ in range(NAME_TRIES):
            name = self._owner.ports.clock.identifier()
            program_id = scoped(TenantName(tenant), SINGLE_CALL_PREFIX + name)
            if isinstance(self._owner.locate(program_id), HeldShard):
                break
        return name


def _not_owner() -> Refused:
    detail = "this node does not own the program; its owner has just changed"
    return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_SECONDS)
