"""Tools of a node that is given no tool adapter."""

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.outcomes import Reason, Refused, not_run


class NoTools:
    """Refuses every tool call; implements `foxwinch.backends.ports.ToolPort`."""

    async def call(self, order: ToolRequest) -> ToolResult | Refused:
        """Refuse: nothing was run."""
        return not_run(Reason.BACKEND_UNAVAILABLE, "this node has no access to tools")
