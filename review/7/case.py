"""A caller leaves three tries of a turn, and the workers of those are replaced as planned."""

import asyncio
import os

from deployment import CONTACT_SECONDS, Answer, Deployment, configuration
from outcome import NOT_RUN, main
from programs import Line, Program, come_back_all
from record import Record
from worker import Worker

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is made."""
ZONES = ["caerdydd", "abertawe", "casnewydd", "wrecsam"]
WORKERS = 7
PROGRAMS = 4
LEFT_TRIES = 3
LEAVE_SECONDS = 0.1
"""Half of the route's objective of 200 ms."""
DRAIN_SECONDS = 2.0
SERVES_ON_SECONDS = 1.0
"""Time that a worker serves on after `DRAIN_SECONDS`."""


async def leave(line: Line, deployment: Deployment, number: int) -> Answer | None:
    """Send one try and leave it; return the answer if it came before."""
    asking = asyncio.ensure_future(line.ask(deployment.nodes[number % len(deployment.nodes)]))
    done, _ = await asyncio.wait([asking], timeout=LEAVE_SECONDS)
    if done:
        return asking.result()
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)
    deployment.record.add("left", program=line.program.name)
    return None


async def replace(deployment: Deployment, old: Worker) -> None:
    """Replace a worker: the new one starts first, the old one drains."""
    new = await deployment.add_worker(f"{old.worker_id}-b", old.service, old.zone)
    new.pause_seconds = old.pause_seconds
    await asyncio.sleep(0.3)
    old.write_entry("draining")
    await asyncio.sleep(DRAIN_SECONDS + SERVES_ON_SECONDS)
    old.drop_entry()
    await old.stop()


async def run(record: Record) -> int:
    """Return the outcome."""
    async with Deployment(record, ZONES) as deployment:
        for number in range(WORKERS):
            zone = ZONES[number % len(ZONES)]
            await deployment.add_worker(f"i-llm{number}", "llm", zone, pause_seconds=0.15)
        deployment.configure(configuration())
        if not await deployment.start_nodes():
            return NOT_RUN
        await asyncio.sleep(1.0)
        programs = [Program(deployment, f"p{number:02d}") for number in range(PROGRAMS)]
        firsts = [await each.first_turn(deployment.nodes[0]) for each in programs]
        if not all(firsts):
            return NOT_RUN
        lines = [Line(each) for each in programs]
        if IS_DISRUPTED:
            for number in range(LEFT_TRIES):
                await leave(lines[0], deployment, number)
                await asyncio.sleep(0.2)
        left = {line.program.name: workers_of(record, line) for line in lines}
        record.add("tried", workers=left)
        # Those that one program has tried: three of seven.
        replaced = set(left[lines[0].program.name]) or {"i-llm0", "i-llm1", "i-llm2"}
        old = [worker for worker in deployment.workers if worker.worker_id in replaced]
        for worker in old:
            await replace(deployment, worker)
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        return await come_back_all(deployment, lines)


def workers_of(record: Record, line: Line) -> list[str]:
    """Return the workers that ran tries of a turn."""
    runs = record.of("run", program=line.program.name, previous=line.program.first)
    return sorted({each["worker"] for each in runs})


main(__file__, run)
