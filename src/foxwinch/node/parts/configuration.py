"""Part: the cluster configuration in force, and the limits that it sets."""

from dataclasses import dataclass

from foxwinch.node.configuration_service import ConfigurationService, ConfigurationServicePorts
from foxwinch.node.interfaces import ConfigurationView, LimitView
from foxwinch.node.local import LocalConfiguration, LocalLimits
from foxwinch.node.local_cluster import NoPeers
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """Configuration and limits of the node."""

    configuration: ConfigurationView
    limits: LimitView
    services: tuple[NodeService, ...] = ()
    changes: ConfigurationService | None = None
    """Takes operators' changes and tells the revision at each node; None for a fixed document."""


def build_configuration(context: NodeContext, membership: MembershipPart) -> ConfigurationPart:
    """Build the part; without a table the proposed document is kept as it is."""
    if context.ports.table is None:
        if context.proposed is None:
            raise ValueError("a node without a table needs a cluster configuration to propose")
        return ConfigurationPart(LocalConfiguration(context.proposed), LocalLimits())
    ports = ConfigurationServicePorts(
        clock=context.ports.clock,
        table=context.ports.table,
        peer=context.ports.peers or NoPeers(),
        gossip=membership.gossip,
        membership=membership.membership,
    )
    service = ConfigurationService(ports, context.registry, context.proposed)
    return ConfigurationPart(service, LocalLimits(), (service,), service)
