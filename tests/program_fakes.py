"""Scripted engine, tool service, journal, grants and limits for tests of program commands."""

import asyncio
from pathlib import Path

from foxwinch._generated.journal_pb2 import HistoryMessage, JournalRecord
from foxwinch.backends.ports import GenerateFinished, TokenChunk, ToolResult
from foxwinch.commands.ports import ProgramPorts
from foxwinch.commands.program_owner import ProgramOwner
from foxwinch.commands.requests import ModelCallRequest, ToolCallRequest
from foxwinch.commands.router import ProgramRouter
from foxwinch.configuration.local import LocalConfiguration
from foxwinch.core.program.call_events import CallChunks
from foxwinch.core.program.identity import scoped_program_id
from foxwinch.emulator.clock import VirtualClock
from foxwinch.identifiers import Epoch, ModelName, TenantName, ToolName, WorkerId
from foxwinch.limits.ports import Admitted
from foxwinch.outcomes import Reason, Refused, RunState
from foxwinch.records.program_trees import OpenedTree, ProgramTreeStore, TreeJournal
from foxwinch.settings.base import check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.workers.ports import Grant
from idle_engine import IdleEngine

CLEDWYN = Path(__file__).parents[1] / "examples" / "cledwyn.toml"
TENANT = TenantName("seat-reservations")
BROKEN = Refused(Reason.BACKEND_FAILED, RunState.UNKNOWN, "broken")


def document() -> ClusterConfiguration:
    checked = check(ClusterConfiguration, read_toml(CLEDWYN), str(CLEDWYN))
    assert isinstance(checked, ClusterConfiguration)
    return checked


class FakeEngine(IdleEngine):
    """Streams `words`, one per `pause_seconds`; `failures` end calls at the given chunk index."""

    def __init__(self):
        self.words = ["the ", "next ", "train"]
        self.pause_seconds = 1.0
        self.failures: list[tuple[int, Refused]] = []
        self.orders = []
        self.cancelled = 0

    async def generate(self, worker, order):
        self.orders.append(order)
        failure = self.failures.pop(0) if self.failures else None
        try:
            for index in range(order.resume_offset, len(self.words)):
                if failure is not None and index == failure[0]:
                    yield failure[1]
                    return
                await asyncio.sleep(self.pause_seconds)
                yield TokenChunk(self.words[index], 1)
            yield GenerateFinished("stop", 7, 0, len(self.words))
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled += 1
            raise


class FakeTools:
    """Runs each tool call for `pause_seconds`; `answers` overrides the results in order."""

    def __init__(self):
        self.orders = []
        self.pause_seconds = 1.0
        self.answers: list[ToolResult | Refused] = []

    async def call(self, order):
        self.orders.append(order)
        await asyncio.sleep(self.pause_seconds)
        return self.answers.pop(0) if self.answers else ToolResult("held")


class FakeJournal(TreeJournal):
    """Stores records in memory; `refusals` are returned in order, None accepts an append."""

    def __init__(self):
        self.records: list[JournalRecord] = []
        self.refusals: list[Refused | None] = []
        self.kept_when_unknown = False
        self.removed = 0

    @property
    def batches(self):
        return len(self.records)

    def on_late_append(self, applied):
        self.applied = applied

    async def append(self, records):
        await asyncio.sleep(0.001)
        refused = self.refusals.pop(0) if self.refusals else None
        if refused is None or (self.kept_when_unknown and refused.run_state is RunState.UNKNOWN):
            for record in records:
                copied = JournalRecord()
                copied.CopyFrom(record)
                self.records.append(copied)
        return refused

    async def confirm(self):
        await asyncio.sleep(0.001)
        return self.refusals.pop(0) if self.refusals else None

    async def remove(self):
        self.removed += 1


class FakeTreeStore(ProgramTreeStore):
    """One journal for all program trees; `elsewhere` is another node that serves them."""

    def __init__(self, journal):
        self.journal = journal
        self.records = []
        self.elsewhere = None
        self.taken_over = []

    async def open(self, root, previous_owner=None):
        await asyncio.sleep(0.001)
        if self.elsewhere is not None and self.elsewhere.node != previous_owner:
            return self.elsewhere
        if previous_owner is not None:
            self.taken_over.append(previous_owner)
        return OpenedTree(self.journal, list(self.records))

    async def read(self, root):
        return list(self.records)

    async def served(self, partition):
        return []


class FakeGrants:
    """Grants immediately unless `refusal` is set; records settled and finished grants."""

    def __init__(self):
        self.refusal: Refused | None = None
        self.requests = []
        self.settled = []
        self.finished = []
        self.paused = []

    async def acquire(self, request):
        self.requests.append(request)
        if self.refusal is not None:
            return self.refusal
        worker = WorkerId(f"w{len(self.requests)}")
        return Grant(request.call_id, worker, "http://x", Epoch(1), 0, 0, 0.25, "free worker")

    def settle(self, grant, usage):
        self.settled.append(usage)

    def pause(self, program_id, tool):
        self.paused.append((program_id, tool))

    def mark_taken_over(self, program_id):
        pass

    def finish(self, program_id):
        self.finished.append(program_id)


class FakeLimits:
    """Admits all calls; `unsettled` counts the calls that are not settled."""

    def __init__(self):
        self.unsettled = 0

    def admit(self, tenant, class_name, estimated_tokens):
        self.unsettled += 1
        return Admitted(tenant, estimated_tokens)

    def settle(self, admitted, used_tokens):
        self.unsettled -= 1


class Rig:
    """A program owner and router on top of the fakes."""

    def __init__(self, forwarder=None, seed=1):
        self.clock = VirtualClock(seed)
        self.engine, self.tools = FakeEngine(), FakeTools()
        self.journal, self.grants, self.limits = FakeJournal(), FakeGrants(), FakeLimits()
        self.trees = FakeTreeStore(self.journal)
        self.ports = ProgramPorts(
            self.clock, LocalConfiguration(document()), self.trees,
            self.grants, self.limits, self.engine, self.tools,
        )  # fmt: skip
        self.owner = ProgramOwner(self.ports)
        self.router = ProgramRouter(self.owner, forwarder)

    async def reopen(self, records, name="p"):
        """Reopen the program tree from the given records, as after the failure of its node."""
        tree = self.owner.served_tree(scoped_program_id(TENANT, name))
        if tree is not None:
            self.owner.drop(tree)
        self.trees.records = list(records)
        return await self.owner.locate(scoped_program_id(TENANT, name))

    def program(self, name="p"):
        tree = self.owner.served_tree(scoped_program_id(TENANT, name))
        return tree.table.find(scoped_program_id(TENANT, name)) if tree is not None else None

    def model(self, text="hello", name="p", **fields):
        message = HistoryMessage(role="user", content=text)
        base = {"append": True, "maximum_tokens": 16, **fields}
        return self.router.execute(
            ModelCallRequest(
                TENANT, scoped_program_id(TENANT, name), ModelName("rail-chat"), (message,), **base
            )
        )

    def tool(self, tool="timetable", name="p", **fields):
        return self.router.execute(
            ToolCallRequest(TENANT, scoped_program_id(TENANT, name), ToolName(tool), "{}", **fields)
        )


async def collect(events):
    """Return the concatenated text of all chunks, and the last event."""
    text, last = "", None
    async for event in events:
        if isinstance(event, CallChunks):
            text += "".join(chunk.text for chunk in event.chunks)
        last = event
    return text, last
