"""Records subsystem: program trees and worker epochs in the shared store."""

from dataclasses import dataclass

from foxwinch.node.local import LocalTreeStore
from foxwinch.node.local_cluster import LocalEpochs
from foxwinch.node.parts.context import NodeContext
from foxwinch.records.program_trees import ProgramTreeStore
from foxwinch.records.tree_store import RecordTreeStore
from foxwinch.workers.epochs import StoredEpochs
from foxwinch.workers.ports import EpochView


@dataclass(frozen=True, slots=True)
class RecordsPart:
    """Views of the records subsystem."""

    trees: ProgramTreeStore
    epochs: EpochView


def build_records(context: NodeContext) -> RecordsPart:
    """Build the subsystem; without a store, this node owns everything and keeps it in memory."""
    ports = context.ports
    if ports.records is None:
        return RecordsPart(LocalTreeStore(), LocalEpochs())
    trees = RecordTreeStore(ports.records, ports.clock, context.node, str(ports.peer_address))
    return RecordsPart(trees, StoredEpochs(ports.records, ports.clock))
