"""Tool port of a node without a tool adapter."""

from foxwinch.backends.ports import ToolRequest, ToolResult
from foxwinch.outcomes import Reason, Refused, not_run


class NoTools:
    """Rejects every tool call; implements `foxwinch.backends.ports.ToolPort`."""

    async def call(self, request: ToolRequest) -> ToolResult | Refused:
        """Reject the call without running it."""
        return not_run(Reason.BACKEND_UNAVAILABLE, "this node has no access to tools")
