"""Part: the cluster configuration in force, and the limits that it sets."""

from dataclasses import dataclass

from foxwinch.node.interfaces import ConfigurationView, LimitView
from foxwinch.node.local import LocalConfiguration, LocalLimits
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """Configuration and limits of the node."""

    configuration: ConfigurationView
    limits: LimitView
    services: tuple[NodeService, ...] = ()


def build_configuration(context: NodeContext, membership: MembershipPart) -> ConfigurationPart:
    """Build the part; a single node keeps the proposed document as it is."""
    if context.proposed is None:
        raise ValueError("a single node needs a cluster configuration to propose")
    return ConfigurationPart(LocalConfiguration(context.proposed), LocalLimits())
