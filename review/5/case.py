"""Two of four nodes are killed at once; programs that were in a turn there come back."""

import asyncio
import os

from deployment import CONTACT_SECONDS, Deployment, configuration
from outcome import NOT_RUN, main
from programs import Line, Program, come_back_all
from record import Record

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is made."""
ZONES = ["caerdydd", "abertawe", "casnewydd", "wrecsam"]
PROGRAMS = 8


async def run(record: Record) -> int:
    """Return the outcome."""
    async with Deployment(record, ZONES) as deployment:
        for number, zone in enumerate(ZONES):
            await deployment.add_worker(f"i-llm{number}", "llm", zone, pause_seconds=0.1)
        deployment.configure(configuration())
        if not await deployment.start_nodes():
            return NOT_RUN
        await asyncio.sleep(1.0)
        killed = deployment.nodes[0::2]
        programs = [Program(deployment, f"p{number:02d}") for number in range(PROGRAMS)]
        firsts = await asyncio.gather(
            *(each.first_turn(killed[number % 2]) for number, each in enumerate(programs))
        )
        if not all(firsts):
            return NOT_RUN
        lines = [Line(each) for each in programs]
        running = asyncio.gather(
            *(each.ask(killed[number % 2]) for number, each in enumerate(lines))
        )
        await asyncio.sleep(0.6)
        if IS_DISRUPTED:
            await asyncio.gather(*(node.kill() for node in killed))
            if not await deployment.restart(killed):
                return NOT_RUN
        answers = await running
        interrupted = [line for line, each in zip(lines, answers, strict=True) if not each.is_whole]
        record.add("interrupted", count=len(interrupted))
        await asyncio.sleep(CONTACT_SECONDS + 0.5)
        return await come_back_all(deployment, interrupted or lines)


main(__file__, run)
