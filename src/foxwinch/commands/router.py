"""Carry a request out here, or send it on to the node that serves its program.

A node that cannot be reached, or that has given the program up, is replaced at once: this node
takes the program tree over.
"""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any, cast

from foxwinch.commands.execute import ProgramExecutor
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.program_owner import IDLE_POLL_SECONDS, ProgramOwner
from foxwinch.commands.requests import ProgramRequest
from foxwinch.commands.served_tree import ServedTree
from foxwinch.commands.views import one_event
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.program_trees import OwnedElsewhere

NOT_OWNER_RETRY_SECONDS = 0.2
GONE = frozenset({Reason.PEER_UNREACHABLE, Reason.NOT_OWNER})
"""Refusals after which the node that was asked certainly does not serve the program."""


class ProgramRouter:
    """The way into the programs of a cluster from one node."""

    def __init__(self, owner: ProgramOwner, forwarder: Forwarder | None) -> None:
        """Forward by `forwarder`; without one this node serves every program."""
        self._owner = owner
        self._executor = ProgramExecutor(owner)
        self._forwarder = forwarder
        if forwarder is not None:
            forwarder.serve(self.execute_here)

    async def execute(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Carry a request out and iterate over its events."""
        root = root_of(request.program_id)
        located = await self._owner.locate(root)
        if isinstance(located, OwnedElsewhere) and self._forwarder is not None:
            async with aclosing(cast(Any, self._forward(root, located, request))) as events:
                async for event in events:
                    yield event
            return
        async with aclosing(cast(Any, self._carry_out(located, request))) as events:
            async for event in events:
                yield event

    async def execute_here(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Carry out a request that another node sent on; it is never sent on again."""
        root = root_of(request.program_id)
        held = self._owner.held(root)
        if held is not None and self._owner.closing and held.idle:
            self._owner.drop(held)
        if self._owner.closing and self._owner.held(root) is None:
            yield _not_owner()
            return
        located = await self._owner.locate(root)
        async with aclosing(cast(Any, self._carry_out(located, request))) as events:
            async for event in events:
                yield event

    async def wait_sent(self) -> None:
        """Return when every answer to a request that another node sent on is sent."""
        while self._forwarder is not None and self._forwarder.served:
            await self._owner.ports.clock.sleep(IDLE_POLL_SECONDS)

    def new_program_name(self, tenant: str) -> str:
        """Return a fresh name."""
        return self._owner.ports.clock.identifier()

    async def _forward(
        self, root: ProgramId, served: OwnedElsewhere, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        """Send a request on; carry it out here when the other node certainly has not."""
        assert self._forwarder is not None
        first = True
        async with aclosing(cast(Any, self._forwarder.forward(served, request))) as events:
            async for event in events:
                if first and _is_gone(event):
                    break
                first = False
                yield event
        if not first:
            return
        located = await self._owner.locate(root, over=served.node)
        async with aclosing(cast(Any, self._carry_out(located, request))) as events:
            async for event in events:
                yield event

    def _carry_out(
        self, located: ServedTree | OwnedElsewhere | Refused, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        if isinstance(located, ServedTree):
            return self._executor.execute(located, request)
        return one_event(located if isinstance(located, Refused) else _not_owner())


def _is_gone(event: ProgramEvent) -> bool:
    if not isinstance(event, Refused) or event.run_state is not RunState.NOT_RUN:
        return False
    return event.reason in GONE


def _not_owner() -> Refused:
    detail = "another node has just taken the program over"
    return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_SECONDS)
