"""Waiting for an event with a timeout on the clock of the node."""

import asyncio

from foxwinch.clock import Clock


async def wait_for_event(clock: Clock, event: asyncio.Event, seconds: float) -> bool:
    """Wait until `event` is set or `seconds` have passed, and return whether it is set."""
    loop = asyncio.get_running_loop()
    sleeping = loop.create_task(clock.sleep(seconds))
    waiting = loop.create_task(event.wait())
    try:
        await asyncio.wait({sleeping, waiting}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleeping.cancel()
        waiting.cancel()
    return event.is_set()
