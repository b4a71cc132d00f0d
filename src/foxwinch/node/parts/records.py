"""Subsystem: state in the shared store, that is program families and worker epochs."""

from dataclasses import dataclass

from foxwinch.node.local import LocalFamilies
from foxwinch.node.local_cluster import LocalEpochs
from foxwinch.node.parts.context import NodeContext
from foxwinch.records.families import Families
from foxwinch.records.family_store import StoredFamilies
from foxwinch.workers.epochs import StoredEpochs
from foxwinch.workers.ports import EpochView


@dataclass(frozen=True, slots=True)
class RecordsPart:
    """The records subsystem."""

    families: Families
    epochs: EpochView


def build_records(context: NodeContext) -> RecordsPart:
    """Build the subsystem; without a store, this node owns everything and keeps it in memory."""
    ports = context.ports
    if ports.records is None:
        return RecordsPart(LocalFamilies(), LocalEpochs())
    families = StoredFamilies(ports.records, ports.clock, context.node, str(ports.peer_address))
    return RecordsPart(families, StoredEpochs(ports.records, ports.clock))
