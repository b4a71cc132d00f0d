"""Streams and the software versions of workers: a stream holds events of one version only."""

from fake_platform import FakePlatform, configuration, routes
from fake_worker import FakeResponse, FakeWorker, events

ALL_EVENTS = events(1, 5)
ABORTED = FakeResponse(body=None, chunks=[*ALL_EVENTS[:2], ALL_EVENTS[2][:7]], cut=True)
REST = FakeResponse(body=None, chunks=ALL_EVENTS[2:])
COMPLETE = FakeResponse(body=None, chunks=ALL_EVENTS)
STREAMS = 8


class VersionedPlatform(FakePlatform):
    """An emulated platform whose workers have the given software versions."""

    def __init__(self, *versions, attempts=3):
        super().__init__([FakeWorker(COMPLETE) for _ in versions])
        self.versions = dict(enumerate(versions))
        self.model.put("op", "config", configuration(routes=routes(attempts)))

    def list_worker(self, number, **changes):
        """Write the entry of a worker with its software version."""
        super().list_worker(number, **{"version": self.versions[number]} | changes)

    def set_responses(self, *responses):
        """Set the responses of all workers together; the last one is repeated."""
        shared = list(responses)
        for worker in self.workers:
            worker.responses = shared

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
