"""Callers of the soak: programs of turns and calls, tried again as callers of the platform do."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from platform_site import HOST
from soak.nodes import SoakNode
from soak.promises import TOKENS_PER_EVENT, Attempt, Promises
from soak.workers import EVENTS

MOST = 2 * EVENTS * TOKENS_PER_EVENT
"""The most that one turn may generate; it makes half of it."""
DEADLINE_SECONDS = 3.0
TRIES = 6
RETRY_SECONDS = 0.3
PATHS = {"stream": "/plan/", "kept": "/kept/", "safe": "/hold/", "unsafe": "/confirm/"}
TURN_SPENT = 402
NO_SUCH_TURN = 404


@dataclass
class Program:
    """One program under way."""

    name: str
    kind: str
    turns: int
    budget: int
    previous: str | None = None
    """Of a program whose turns are kept: the last turn that was answered whole."""
    history: bytes = b""


class Callers:
    """Runs programs against the nodes."""

    def __init__(self, nodes: list[SoakNode], promises: Promises, draws: random.Random) -> None:
        self._nodes = nodes
        self._promises = promises
        self._draws = draws
        self._session = aiohttp.ClientSession(auto_decompress=False)
        self.budgets: dict[str, tuple[int, int]] = {}
        self._numbers = 0

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def run_programs(self, stopped: Callable[[], bool]) -> None:
        """Run one program after the other."""
        while not stopped():
            await self.run_program()

    async def run_program(self) -> bool:
        """Run a new program; True when each of its turns was served."""
        turns = self._draws.randint(1, 6)
        spare = self._draws.choice([0, 0, 2])
        program = Program(
            f"p{self._number():x}",
            self._draws.choice(["stream", "kept"]),
            turns,
            MOST * (turns + spare),
        )
        self.budgets[program.name] = (program.budget, MOST)
        for number in range(program.turns):
            if not await self._turn(program, f"input {program.name} {number};".encode()):
                return False
            kinds = ("safe", "unsafe")[: self._draws.randint(0, 2)]
            await asyncio.gather(*(self._call(program, kind) for kind in kinds))
        return True

    async def _turn(self, program: Program, new_input: bytes) -> bool:
        body = new_input if program.kind == "kept" else program.history + new_input
        headers = {
            "Program": program.name,
            "Session": program.name,
            "Finish-Ms": "9000",
            "Token-Budget": str(program.budget),
            "Token-Count": f"100,{MOST}",
            "Prompt-Prefix": f"{program.name}:100",
        }
        if program.previous is not None:
            headers["Previous-Turn"] = program.previous
        for _ in range(TRIES):
            attempt = self._attempt(program, program.kind, program.history + new_input)
            await self._send(attempt, body, headers)
            if attempt.status == NO_SUCH_TURN and program.previous is not None:
                self._promises.turn_not_found(attempt, program.previous)
            if attempt.status in (TURN_SPENT, NO_SUCH_TURN):
                return False
            if attempt.status == 200 and attempt.whole:
                output = b"".join(text.encode() + b"\n" for text in attempt.data)
                program.history += new_input + output
                program.previous = attempt.request_id if program.kind == "kept" else None
                return True
            await asyncio.sleep(RETRY_SECONDS * (0.5 + self._draws.random()))
        return False

    async def _call(self, program: Program, kind: str) -> None:
        """Call a tool; a call that may not be repeated is tried again only when it did not run."""
        for _ in range(TRIES):
            attempt = self._attempt(program, kind, b"call")
            await self._send(attempt, b"call", {"Program": program.name})
            again = kind == "safe" or attempt.status in (408, 429, 503)
            if attempt.status == 200 or not again:
                return
            await asyncio.sleep(RETRY_SECONDS * self._draws.random())

    def _attempt(self, program: Program, kind: str, prompt: bytes) -> Attempt:
        attempt = Attempt(f"{self._number():016x}", program.name, kind, prompt)
        self._promises.sent(attempt)
        return attempt

    def _number(self) -> int:
        self._numbers += 1
        return self._numbers

    async def _send(self, attempt: Attempt, body: bytes, headers: dict[str, str]) -> None:
        usable = [node for node in self._nodes if node.address and not node.stopping]
        if not usable:
            return
        node = self._draws.choice(usable)
        sent = {"Host": HOST, "Request-Id": attempt.request_id, "Deadline-Ms": "3000", **headers}
        url = URL(f"http://{node.address}{PATHS[attempt.kind]}")
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 0.5):
                async with self._session.post(url, data=body, headers=sent) as response:
                    attempt.status = response.status
                    attempt.stamp = response.headers.get("Response-Stamp")
                    await self._read(attempt, response)
        except (aiohttp.ClientError, OSError, TimeoutError):
            attempt.whole = False
        self._promises.ended(attempt, EVENTS)

    async def _read(self, attempt: Attempt, response: aiohttp.ClientResponse) -> None:
        if response.status != 200:
            await response.read()
        elif attempt.kind in ("safe", "unsafe"):
            attempt.data = [(await response.read()).decode()]
        else:
            rest = b""
            async for piece in response.content.iter_any():
                *events, rest = (rest + piece).split(b"\n\n")
                for event in events:
                    first, second = event.decode().split("\n")
                    attempt.event_ids.append(int(first.removeprefix("id: ")))
                    attempt.data.append(second.removeprefix("data: "))
        attempt.whole = True
