"""Measure the processor time of a peer request, with both sides in one process on loopback."""

import asyncio
import time
from dataclasses import asdict, dataclass

import uvloop

from foxwinch.bench.commit import current_commit
from foxwinch.identifiers import NodeId
from foxwinch.outcomes import Refused
from foxwinch.peer.ports import PeerContext
from foxwinch.peer.service import PeerService

PAYLOAD_BYTES = 600
OUTSTANDING = 32
WARM_UP_CALLS = 2_000


@dataclass(frozen=True, slots=True)
class EchoFigures:
    """Figures of one round; processor time includes both sides."""

    calls: int
    payload_bytes: int
    outstanding: int
    calls_per_second: float
    processor_seconds_per_call: float
    latency_seconds_p50: float
    """Median latency of sequential calls."""


def run_echo(calls: int, rounds: int) -> dict[str, object]:
    """Measure `rounds` rounds of `calls` calls and return the report."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures = [asdict(runner.run(_round(calls))) for _ in range(rounds)]
    command = f"foxwinch bench peer --calls {calls} --rounds {rounds}"
    return {"command": command, "commit": current_commit(), "rounds": figures}


async def _echo(context: PeerContext, payload: bytes) -> bytes:
    return payload


async def _round(calls: int) -> EchoFigures:
    client, server = PeerService(NodeId("asking")), PeerService(NodeId("serving"))
    server.handle("echo", _echo)
    await client.start()
    await server.start()
    try:
        await _run_calls(client, server, WARM_UP_CALLS)
        wall, processor = time.perf_counter(), time.process_time()
        await _run_calls(client, server, calls)
        wall, processor = time.perf_counter() - wall, time.process_time() - processor
        latency = await _median_latency_seconds(client, server)
    finally:
        await client.stop()
        await server.stop()
    return EchoFigures(
        calls=calls,
        payload_bytes=PAYLOAD_BYTES,
        outstanding=OUTSTANDING,
        calls_per_second=round(calls / wall, 1),
        processor_seconds_per_call=round(processor / calls, 8),
        latency_seconds_p50=round(latency, 7),
    )


async def _run_calls(client: PeerService, server: PeerService, calls: int) -> None:
    payload = bytes(PAYLOAD_BYTES)

    async def call_sequentially() -> None:
        for _ in range(calls // OUTSTANDING):
            response = await client.call(server.address, "echo", payload, 10.0)
            assert not isinstance(response, Refused), response

    await asyncio.gather(*(call_sequentially() for _ in range(OUTSTANDING)))


async def _median_latency_seconds(client: PeerService, server: PeerService) -> float:
    seconds = []
    for _ in range(WARM_UP_CALLS):
        started = time.perf_counter()
        await client.call(server.address, "echo", bytes(PAYLOAD_BYTES), 10.0)
        seconds.append(time.perf_counter() - started)
    return sorted(seconds)[len(seconds) // 2]
