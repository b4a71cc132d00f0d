"""Processor time of one request between two nodes, both sides in one process on loopback."""

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
    """Figures of one run; processor time is of both sides together."""

    calls: int
    payload_bytes: int
    outstanding: int
    calls_per_second: float
    processor_seconds_per_call: float
    latency_seconds_p50: float
    """Of calls made one after another."""


def run_echo(calls: int, rounds: int) -> dict[str, object]:
    """Measure several rounds and return the report."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures = [asdict(runner.run(_round(calls))) for _ in range(rounds)]
    command = f"foxwinch bench peer --calls {calls} --rounds {rounds}"
    return {"command": command, "commit": current_commit(), "rounds": figures}


async def _echo(context: PeerContext, payload: bytes) -> bytes:
    return payload


async def _round(calls: int) -> EchoFigures:
    asking, serving = PeerService(NodeId("asking")), PeerService(NodeId("serving"))
    serving.handle("echo", _echo)
    await asking.start()
    await serving.start()
    try:
        await _call_many(asking, serving, WARM_UP_CALLS)
        wall, processor = time.perf_counter(), time.process_time()
        await _call_many(asking, serving, calls)
        wall, processor = time.perf_counter() - wall, time.process_time() - processor
        latency = await _latency(asking, serving)
    finally:
        await asking.stop()
        await serving.stop()
    return EchoFigures(
        calls=calls,
        payload_bytes=PAYLOAD_BYTES,
        outstanding=OUTSTANDING,
        calls_per_second=round(calls / wall, 1),
        processor_seconds_per_call=round(processor / calls, 8),
        latency_seconds_p50=round(latency, 7),
    )


async def _call_many(asking: PeerService, serving: PeerService, calls: int) -> None:
    payload = bytes(PAYLOAD_BYTES)

    async def one_after_another() -> None:
        for _ in range(calls // OUTSTANDING):
            answer = await asking.call(serving.address, "echo", payload, 10.0)
            assert not isinstance(answer, Refused), answer

    await asyncio.gather(*(one_after_another() for _ in range(OUTSTANDING)))


async def _latency(asking: PeerService, serving: PeerService) -> float:
    seconds = []
    for _ in range(WARM_UP_CALLS):
        started = time.perf_counter()
        await asking.call(serving.address, "echo", bytes(PAYLOAD_BYTES), 10.0)
        seconds.append(time.perf_counter() - started)
    return sorted(seconds)[len(seconds) // 2]
