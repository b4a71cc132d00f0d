"""Configuration subsystem: the active cluster configuration and the limits it defines."""

from dataclasses import dataclass

from foxwinch.commands.operator import ConfigurationChangePort, StaticConfiguration
from foxwinch.configuration.local import LocalConfiguration
from foxwinch.configuration.ports import ConfigurationView
from foxwinch.configuration.service import ConfigurationService, ConfigurationServicePorts
from foxwinch.identifiers import ZoneName
from foxwinch.limits.ports import LimitView
from foxwinch.limits.service import LimitsPorts, LimitsService
from foxwinch.node.local import LocalLimits
from foxwinch.node.local_cluster import NoPeers
from foxwinch.node.parts.context import NodeContext, NodeService
from foxwinch.node.parts.membership import MembershipPart
from foxwinch.settings.cluster import ClusterConfiguration


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """Views and services of the configuration subsystem."""

    configuration: ConfigurationView
    limits: LimitView
    changes: ConfigurationChangePort
    """Applies operators' changes and reports the revision at each node."""
    services: tuple[NodeService, ...] = ()


def build_configuration(context: NodeContext, membership: MembershipPart) -> ConfigurationPart:
    """Build the subsystem; without a store, the proposed document is used unchanged."""
    if context.ports.records is None:
        if context.proposed is None:
            raise ValueError("a node without a store requires a cluster configuration")
        return _fixed(context, context.proposed)
    ports = ConfigurationServicePorts(
        clock=context.ports.clock,
        records=context.ports.records,
        peer=context.ports.peers or NoPeers(),
        gossip=membership.gossip,
        membership=membership.membership,
    )
    service = ConfigurationService(ports, context.registry, context.proposed)
    limits = LimitsService(
        LimitsPorts(ports.clock, ports.gossip, ports.membership, service), context.registry
    )
    return ConfigurationPart(service, limits, service, (service, limits))


def _fixed(context: NodeContext, document: ClusterConfiguration) -> ConfigurationPart:
    changes = StaticConfiguration(context.node, ZoneName(context.settings.zone))
    return ConfigurationPart(LocalConfiguration(document), LocalLimits(), changes)
