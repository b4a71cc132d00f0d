"""A node is killed while sub-agents of a program take turns with the same input through it."""

import asyncio
import os

from deployment import CONTACT_SECONDS, Deployment, configuration
from outcome import NOT_RUN, main
from programs import Line, Program, come_back_all
from record import Record

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is made."""
ZONES = ["caerdydd", "abertawe", "casnewydd", "wrecsam"]
NODE_ZONES = [*ZONES, *ZONES[:3]]
"""One of seven nodes is a share of 0.14."""
PROGRAMS = 4
SUB_AGENTS = 3


async def run(record: Record) -> int:
    """Return the outcome."""
    async with Deployment(record, NODE_ZONES) as deployment:
        for number, zone in enumerate(ZONES):
            await deployment.add_worker(f"i-llm{number}", "llm", zone, pause_seconds=0.1)
        deployment.configure(configuration())
        if not await deployment.start_nodes():
            return NOT_RUN
        await asyncio.sleep(1.0)
        killed = deployment.nodes[0]
        programs = [Program(deployment, f"p{number:02d}") for number in range(PROGRAMS)]
        firsts = [await each.first_turn(killed) for each in programs]
        if not all(firsts):
            return NOT_RUN
        lines = [
            Line(program, f"agent{number}", "solve")
            for program in programs
            for number in range(SUB_AGENTS)
        ]
        running = asyncio.gather(*(line.ask(killed) for line in lines))
        await asyncio.sleep(0.6)
        if IS_DISRUPTED:
            await killed.kill()
            if not await deployment.restart([killed]):
                return NOT_RUN
        answers = await running
        interrupted = [line for line, each in zip(lines, answers, strict=True) if not each.is_whole]
        record.add("interrupted", count=len(interrupted))
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        return await come_back_all(deployment, interrupted or lines)


main(__file__, run)
