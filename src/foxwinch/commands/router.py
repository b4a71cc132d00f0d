"""Execute a request on this node, or forward it to the node that serves its program.

If that node is unreachable or has released the program, this node takes over the program tree
immediately.
"""

from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any, cast

from foxwinch.commands.execute import ProgramExecutor
from foxwinch.commands.forward import Forwarder
from foxwinch.commands.program_owner import IDLE_POLL_SECONDS, ProgramOwner
from foxwinch.commands.requests import ProgramRequest
from foxwinch.commands.served_tree import ServedTree
from foxwinch.commands.views import single_event
from foxwinch.core.program.call_events import ProgramEvent
from foxwinch.core.program.identity import root_of
from foxwinch.identifiers import ProgramId
from foxwinch.outcomes import Reason, Refused, RunState, not_run
from foxwinch.records.program_trees import OwnedElsewhere

NOT_OWNER_RETRY_SECONDS = 0.2
NOT_SERVING_REASONS = frozenset({Reason.PEER_UNREACHABLE, Reason.NOT_OWNER})
"""Refusals which show that the other node does not serve the program."""


class ProgramRouter:
    """Entry point of one node to all programs of the cluster."""

    def __init__(self, owner: ProgramOwner, forwarder: Forwarder | None) -> None:
        """Forward over `forwarder`; without one, this node serves every program."""
        self._owner = owner
        self._executor = ProgramExecutor(owner)
        self._forwarder = forwarder
        if forwarder is not None:
            forwarder.serve(self.execute_forwarded)

    async def execute(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Execute or forward a request and iterate over its events."""
        root = root_of(request.program_id)
        located = await self._owner.locate(root)
        if isinstance(located, OwnedElsewhere) and self._forwarder is not None:
            async with aclosing(cast(Any, self._forward(root, located, request))) as events:
                async for event in events:
                    yield event
            return
        async with aclosing(cast(Any, self._execute_located(located, request))) as events:
            async for event in events:
                yield event

    async def execute_forwarded(self, request: ProgramRequest) -> AsyncIterator[ProgramEvent]:
        """Execute a request that another node forwarded; it is never forwarded again."""
        root = root_of(request.program_id)
        tree = self._owner.served_tree(root)
        if tree is not None and self._owner.draining and tree.is_idle:
            self._owner.drop(tree)
        if self._owner.draining and self._owner.served_tree(root) is None:
            yield _not_owner_refusal()
            return
        located = await self._owner.locate(root)
        async with aclosing(cast(Any, self._execute_located(located, request))) as events:
            async for event in events:
                yield event

    async def wait_forwarded_sent(self) -> None:
        """Wait until all answers to requests that other nodes forwarded are sent."""
        while self._forwarder is not None and self._forwarder.in_flight:
            await self._owner.ports.clock.sleep(IDLE_POLL_SECONDS)

    def new_program_name(self, tenant: str) -> str:
        """Return a new unique program name."""
        return self._owner.ports.clock.identifier()

    async def _forward(
        self, root: ProgramId, owner: OwnedElsewhere, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        """Forward a request; take over the tree if the other node has certainly not run it."""
        assert self._forwarder is not None
        first = True
        async with aclosing(cast(Any, self._forwarder.forward(owner, request))) as events:
            async for event in events:
                if first and _shows_not_serving(event):
                    break
                first = False
                yield event
        if not first:
            return
        located = await self._owner.locate(root, previous_owner=owner.node)
        async with aclosing(cast(Any, self._execute_located(located, request))) as events:
            async for event in events:
                yield event

    def _execute_located(
        self, located: ServedTree | OwnedElsewhere | Refused, request: ProgramRequest
    ) -> AsyncIterator[ProgramEvent]:
        if isinstance(located, ServedTree):
            return self._executor.execute(located, request)
        return single_event(located if isinstance(located, Refused) else _not_owner_refusal())


def _shows_not_serving(event: ProgramEvent) -> bool:
    if not isinstance(event, Refused) or event.run_state is not RunState.NOT_RUN:
        return False
    return event.reason in NOT_SERVING_REASONS


def _not_owner_refusal() -> Refused:
    detail = "another node has just taken over the program"
    return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_SECONDS)
