"""Streams and the software versions of workers: a stream holds events of one version only."""

import asyncio

import pytest

from fake_platform import STREAM, FakePlatform, configuration, routes, wait_until
from fake_worker import FakeResponse, FakeWorker, events
from foxwinch._generated.records_pb2 import BegunStreamsMessage
from foxwinch.emulator.record_store import StoreFault
from foxwinch.records.stream_origins import STREAM_ORIGINS_TABLE
from foxwinch.serving import stream_origins

ALL_EVENTS = events(1, 5)
ABORTED = FakeResponse(body=None, chunks=[*ALL_EVENTS[:2], ALL_EVENTS[2][:7]], cut=True)
REST = FakeResponse(body=None, chunks=ALL_EVENTS[2:])
COMPLETE = FakeResponse(body=None, chunks=ALL_EVENTS)
STREAMS = 8
KNOWN_SECONDS = 0.3
"""Time for which a node must know the worker list, in place of half a minute."""
TARGET_MS = 20_000
"""Target time of the routes. The first event waits a part of it for its record, on a busy
machine too."""


class VersionedPlatform(FakePlatform):
    """An emulated platform whose workers have the given software versions."""

    def __init__(self, *versions, attempts=3):
        super().__init__([FakeWorker(COMPLETE) for _ in versions])
        self.versions = dict(enumerate(versions))
        patient = [{**route, "target_ms": TARGET_MS} for route in routes(attempts)]
        self.model.put("op", "config", configuration(routes=patient))

    def list_worker(self, number, **changes):
        """Write the entry of a worker with its software version."""
        super().list_worker(number, **{"version": self.versions[number]} | changes)

    def set_responses(self, *responses):
        """Set the responses of all workers together; the last one is repeated."""
        shared = list(responses)
        for worker in self.workers:
            worker.responses = shared

    async def listed_versions(self, node):
        """Return the software versions that a node knows."""
        workers = node.node.routing.directory.known_workers()
        return {worker.software_version for worker in workers}

    def versions_of(self, *request_ids):
        """Return the software version of each worker that received one of the requests."""
        return [
            self.versions[number]
            for number, worker in enumerate(self.workers)
            for received in worker.received
            if received["Request-Id"] in request_ids
        ]


async def begin_and_resume(platform, first, second, number):
    """Abort a stream at node `first`, resume it at `second`; return both responses."""
    platform.set_responses(ABORTED)
    begun = await platform.request_turn(first, f"a{number}", Program=f"p{number}")
    platform.set_responses(REST)
    resumed = await platform.request_turn(
        second, f"b{number}", Program=f"p{number}", Last_Event_Id=2, Resumes=f"a{number}"
    )
    return begun, resumed


# Guards against streams that hold events from two software versions within one response (ORDER).
async def test_an_aborted_stream_is_not_resumed_at_a_worker_of_another_version():
    async with VersionedPlatform("v1", "v2") as platform:
        node = await platform.start_node()
        platform.set_responses(ABORTED, REST)
        reply = await platform.request_turn(node, "r1")
        assert not reply.is_complete
        assert reply.body == b"".join(ALL_EVENTS[:2])
        assert len(platform.versions_of("r1")) == 1


# Guards against streams that hold events from two software versions within one response (ORDER).
async def test_an_aborted_stream_is_resumed_at_another_worker_of_its_version():
    async with VersionedPlatform("v1", "v2", "v1", "v2", "v1", "v2") as platform:
        node = await platform.start_node()
        for number in range(STREAMS):
            platform.set_responses(ABORTED, REST)
            reply = await platform.request_turn(node, f"r{number}", Program=f"p{number}")
            assert (reply.is_complete, reply.body) == (True, b"".join(ALL_EVENTS))
            first, second = platform.versions_of(f"r{number}")
            assert first == second


# Guards against a caller that resumes a stream at another node and gets another version (ORDER).
async def test_a_stream_resumed_at_another_node_stays_at_its_version():
    async with VersionedPlatform("v1", "v2", "v1", "v2", attempts=1) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        for number in range(STREAMS):
            begun, resumed = await begin_and_resume(platform, first, second, number)
            assert not begun.is_complete
            assert (resumed.is_complete, resumed.body) == (True, b"".join(ALL_EVENTS[2:]))
            one, other = platform.versions_of(f"a{number}", f"b{number}")
            assert one == other


# Guards against an aborted stream when the workers of its version are full for a moment only.
async def test_a_begun_stream_waits_for_capacity_at_the_workers_of_its_version():
    async with VersionedPlatform("v1", "v1", "v2") as platform:
        node = await platform.start_node()
        full = FakeResponse(status=503, headers={"Not-Run": "1"}, signed=False)
        one, other, of_another_version = platform.workers
        one.responses = other.responses = [ABORTED, full, full, REST]
        of_another_version.responses = [full]
        reply = await platform.request_turn(node, "r1")
        assert (reply.is_complete, reply.body) == (True, b"".join(ALL_EVENTS))


# Guards against continuing a stream at another service, whose output does not fit either.
async def test_an_aborted_stream_is_not_resumed_at_another_service():
    async with VersionedPlatform("v1", "v1") as platform:
        backends = [{"service": "s", "weight": 1}, {"service": "t", "weight": 1}]
        split = [{**route, "service": None, "backends": backends} for route in routes()]
        services = [{"name": "s"}, {"name": "t"}]
        platform.model.put("op", "config", configuration(2, routes=split, services=services))
        platform.list_worker(1, service="t")
        node = await platform.start_node()
        platform.set_responses(ABORTED, REST)
        reply = await platform.request_turn(node, "r1")
        assert not reply.is_complete
        assert len(platform.versions_of("r1")) == 1


# Guards against a lost origin when the node is killed right after it has forwarded the first event.
async def test_the_origin_is_stored_before_the_first_event_is_forwarded():
    async with VersionedPlatform("v1") as platform:
        node = await platform.start_node()
        stored = []
        platform.workers[0].responses = [
            FakeResponse(body=None, chunks=ALL_EVENTS, pause_seconds=0.05)
        ]
        async with platform.open_turn(node, "r1") as response:
            await response.content.readany()
            stored = platform.model.rows_of(STREAM_ORIGINS_TABLE)
        (value,) = stored.values()
        (origin,) = BegunStreamsMessage.FromString(value).origins
        assert (origin.request, origin.software_version) == ("r1", "v1")


# Guards against a node that cannot resume streams for some time after its start (LOST).
async def test_a_node_that_has_just_started_resumes_a_stream_at_its_version():
    async with VersionedPlatform("v1", "v2", "v1", "v2", attempts=1) as platform:
        first = await platform.start_node()
        for number in range(STREAMS):
            second = await platform.start_node()
            _, resumed = await begin_and_resume(platform, first, second, number)
            assert (resumed.status, resumed.is_complete) == (200, True)
            one, other = platform.versions_of(f"a{number}", f"b{number}")
            assert one == other


# Guards against a guessed version when the store does not tell how a stream began (ORDER).
@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.RATE_LIMITED, StoreFault.UNRESPONSIVE]
)
async def test_a_stream_of_unknown_origin_is_refused_and_not_run(fault):
    async with VersionedPlatform("v1", "v2", attempts=1) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        platform.set_responses(ABORTED)
        await platform.request(first, STREAM, "a")
        platform.set_responses(REST)
        platform.model.store_faults.fault = fault
        refused = await platform.request(second, STREAM, "b", Last_Event_Id=2, Resumes="a")
        assert refused.status == 503
        assert float(refused.headers["Retry-After"]) > 0
        assert len(platform.versions_of("b")) == 0
        resumed = await platform.request(first, STREAM, "c", Last_Event_Id=2, Resumes="a")
        assert resumed.is_complete
        assert len(set(platform.versions_of("a", "c"))) == 1


# Guards against streams that wait for a store that is down, and against guesses afterwards (ORDER).
@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.UNRESPONSIVE])
async def test_a_stream_begins_during_a_store_outage_and_is_not_resumed_elsewhere(fault):
    async with VersionedPlatform("v1", "v2", attempts=1) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        platform.model.store_faults.fault = fault
        platform.set_responses(ABORTED)
        begun = await platform.request(first, STREAM, "a")
        assert begun.body == b"".join(ALL_EVENTS[:2])
        await wait_until(
            lambda: platform.metric(first, 'foxwinch_stream_origins_total{outcome="unstored"}'), 1.0
        )
        platform.model.store_faults.fault = StoreFault.NONE
        refused = await platform.request(second, STREAM, "b", Last_Event_Id=2, Resumes="a")
        assert refused.status == 503
        assert platform.versions_of("b") == []


# Guards against a late write that replaces the origin of another stream or another version.
@pytest.mark.parametrize("fault", [StoreFault.RESPONSE_LOST, StoreFault.LATE_WRITE])
async def test_a_stream_is_resumed_after_the_response_to_its_write_was_lost(fault):
    async with VersionedPlatform("v1", "v2", "v1", "v2", attempts=1) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        platform.model.store_faults.late_seconds = 0.2
        platform.model.store_faults.fault = fault
        platform.set_responses(ABORTED)
        await platform.request(first, STREAM, "a")
        platform.model.store_faults.fault = StoreFault.NONE
        platform.set_responses(REST)

        async def resume():
            return (
                await platform.request(second, STREAM, "b", Last_Event_Id=2, Resumes="a")
            ).status

        await wait_until(resume, 200)
        one, other = platform.versions_of("a", "b")
        assert one == other


# Guards against continuing at a worker that restarted under its id with another version (ORDER).
async def test_a_stream_is_not_resumed_at_its_worker_after_that_was_upgraded():
    async with VersionedPlatform(1, 1, attempts=1) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        platform.set_responses(ABORTED)
        await platform.request(first, STREAM, "a")
        for number in range(2):
            platform.list_worker(number, version="1.1", born=1_790_000_000_000)
        platform.set_responses(COMPLETE)
        for node in (first, second):
            await wait_until(lambda node=node: platform.listed_versions(node), {"1.1"})
            refused = await platform.request(node, STREAM, "b", Last_Event_Id=2, Resumes="a")
            assert refused.status == 503
        assert len(platform.versions_of("b")) == 0


# Guards against ending streams of a version whose workers drain while others are free (LOST).
async def test_a_stream_is_resumed_at_a_draining_worker_of_its_version():
    async with VersionedPlatform("v1", "v2", "v2", attempts=1) as platform:
        platform.workers[1].responses = platform.workers[2].responses = [
            FakeResponse(status=503, headers={"Not-Run": "1"}, signed=False)
        ]
        first, second = await platform.start_node(), await platform.start_node()
        platform.workers[0].responses = [ABORTED, REST]
        await platform.request(first, STREAM, "a")
        platform.list_worker(0, state="draining")
        resumed = await platform.request(second, STREAM, "b", Last_Event_Id=2, Resumes="a")
        assert resumed.is_complete
        assert platform.versions_of("b") == ["v1"]


# Guards against resumed streams that fail while their version has two workers (LOST).
async def test_streams_are_resumed_when_one_of_two_workers_of_their_version_fails():
    async with VersionedPlatform("v1", "v1", "v2", "v2", attempts=2) as platform:
        first, second = await platform.start_node(), await platform.start_node()
        for number in range(STREAMS):
            _, resumed = await begin_and_resume(platform, first, second, number)
            assert (resumed.status, resumed.is_complete) == (200, True)
        slow = FakeResponse(body=None, chunks=ALL_EVENTS, pause_seconds=0.5)
        for number in range(STREAMS, 2 * STREAMS):
            for worker in platform.workers:
                worker.responses = [slow]
            async with platform.open_turn(first, f"a{number}") as response:
                await response.content.readany()
            for worker in platform.workers[1:]:
                worker.responses = [REST]
            platform.workers[0].responses = [FakeResponse(drop=True)]
            resumed = await platform.request(
                second, STREAM, f"b{number}", Last_Event_Id=2, Resumes=f"a{number}"
            )
            assert (resumed.status, resumed.is_complete) == (200, True)


# Guards against a caller that does not say which request it resumes and gets any version (ORDER).
async def test_a_stream_resumed_without_its_first_request_needs_a_single_version(monkeypatch):
    monkeypatch.setattr(stream_origins, "EVICT_WORKERS_SECONDS", KNOWN_SECONDS)
    async with VersionedPlatform("v1", "v2") as platform:
        node = await platform.start_node()
        await asyncio.sleep(KNOWN_SECONDS)
        refused = await platform.request(node, STREAM, "b", Last_Event_Id=2)
        assert refused.status == 503
        platform.list_worker(1, version="v1")
        await wait_until(lambda: platform.listed_versions(node), {"v1"})
        platform.set_responses(REST)
        assert (await platform.request(node, STREAM, "c", Last_Event_Id=2)).is_complete


ALL_KILLED = 3
"""Number of nodes that are killed at once."""


async def replace_nodes(platform, kill_first):
    """Kill all nodes, and start others; the workers of the first version leave before or after."""
    nodes = list(platform.nodes)
    platform.nodes.clear()
    if not kill_first:
        leave(platform)
    await asyncio.gather(*(node.stop() for node in nodes))
    leave(platform)
    return [await platform.start_node() for _ in nodes]


def leave(platform):
    """Remove the entries of the workers of the first version."""
    for number, version in platform.versions.items():
        if version == platform.versions[0]:
            platform.model.remove("servers", platform.worker_ids[number])


# Guards against a restarted node that takes a stream for one of the version serving now (ORDER).
@pytest.mark.parametrize("name", ["a", None])
@pytest.mark.parametrize("kill_first", [False, True])
async def test_streams_are_not_joined_after_all_nodes_were_killed(kill_first, name):
    async with VersionedPlatform("v1", "v2", attempts=1) as platform:
        for _ in range(ALL_KILLED):
            await platform.start_node()
        old, new = platform.workers
        old.responses = [ABORTED]
        new.responses = [FakeResponse(status=503, headers={"Not-Run": "1"}, signed=False)]
        begun = await platform.request(platform.nodes[0], STREAM, "a")
        assert begun.body == b"".join(ALL_EVENTS[:2])
        new.responses = [REST]
        nodes = await replace_nodes(platform, kill_first)
        resumes = {"Resumes": name} if name else {}
        for number, node in enumerate(nodes):
            refused = await platform.request(node, STREAM, f"b{number}", Last_Event_Id=2, **resumes)
            assert refused.status == 503
            assert platform.versions_of(f"b{number}") == []
            begun_anew = await platform.request(node, STREAM, f"c{number}")
            assert begun_anew.status == 200


# Guards against refusing every caller that does not name the request whose stream it resumes, at a
# node that has just started or beside a rollout (LOST).
async def test_a_stream_resumed_without_its_first_request_is_found_by_its_content():
    async with VersionedPlatform("v1", "v2", attempts=1) as platform:
        first = await platform.start_node()
        for number in range(STREAMS):
            platform.set_responses(ABORTED)
            await platform.request_turn(first, f"a{number}", Program=f"p{number}")
            platform.set_responses(REST)
            second = await platform.start_node()
            resumed = await platform.request_turn(
                second, f"b{number}", Program=f"p{number}", Last_Event_Id=2
            )
            assert (resumed.status, resumed.is_complete) == (200, True)
            one, other = platform.versions_of(f"a{number}", f"b{number}")
            assert one == other


# Guards against a guess between two streams of one request that began at two versions (ORDER).
async def test_a_stream_is_not_resumed_that_is_one_of_two_versions():
    async with VersionedPlatform("v1", "v2", attempts=1) as platform:
        node = await platform.start_node()
        platform.set_responses(ABORTED)
        begun = {}
        for number in range(2 * STREAMS):
            await platform.request_turn(node, f"a{number}")
            begun |= dict.fromkeys(platform.versions_of(f"a{number}"), f"a{number}")
            if len(begun) > 1:
                break
        platform.set_responses(REST)
        refused = await platform.request_turn(node, "b", Last_Event_Id=2)
        assert refused.status == 503
        for version, name in begun.items():
            resumed = await platform.request_turn(node, f"c{name}", Last_Event_Id=2, Resumes=name)
            assert resumed.is_complete
            assert platform.versions_of(f"c{name}") == [version]
