"""Part: what lies in the shared store: families of programs, and epochs of workers."""

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
    """Families and epochs."""

    families: Families
    epochs: EpochView


def build_records(context: NodeContext) -> RecordsPart:
    """Build the part; without a store this node serves all and keeps it in memory."""
    ports = context.ports
    if ports.records is None:
        return RecordsPart(LocalFamilies(), LocalEpochs())
    families = StoredFamilies(ports.records, ports.clock, context.node, str(ports.peer_address))
    return RecordsPart(families, StoredEpochs(ports.records, ports.clock))
