"""Callers of the soak: programs of turns and calls, tried again as callers of the platform do.

Each caller keeps a connection for its turns and uses it until it is closed, also while its node
stops. Calls of tools open connections of their own, to nodes that are taken in.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from fake_platform import HOST
from soak.nodes import SoakNode
from soak.promises import TOKENS_PER_EVENT, Attempt, Promises
from soak.troubles import CONTACT_SECONDS, HARNESS, STOP, STORE, WORKERS, Troubles
from soak.workers import EVENTS

MOST = 2 * EVENTS * TOKENS_PER_EVENT
"""The most that one turn may generate; it makes half of it."""
DEADLINE_SECONDS = 3.0
TRIES = 6
RETRY_SECONDS = 0.3
PATHS = {"stream": "/plan/", "kept": "/kept/", "safe": "/hold/", "unsafe": "/confirm/"}
TURN_SPENT = 402
NO_SUCH_TURN = 404
LEAVE_CHANCE = 0.1
"""Of closing a kept connection after an answer."""


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


class KeptConnection:
    """A connection to one node, which is used until it is closed."""

    def __init__(self, nodes: list[SoakNode], draws: random.Random) -> None:
        self._nodes = nodes
        self._draws = draws
        self._node: SoakNode | None = None
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> tuple[SoakNode, aiohttp.ClientSession] | None:
        """Return the node and the connection to it; None when no node is there."""
        if self._node is None or self._node.address is None or self._session is None:
            await self.close()
            self._node = choose_node(self._nodes, self._draws)
            if self._node is None:
                return None
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
            self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        return self._node, self._session

    async def after(self, response: aiohttp.ClientResponse | None) -> None:
        """Go on with the connection, or leave it: where it was closed, and now and then."""
        closed = response is None or response.headers.get("Connection", "").lower() == "close"
        if closed or self._draws.random() < LEAVE_CHANCE:
            await self.close()

    async def close(self) -> None:
        """Close the connection."""
        self._node = None
        if self._session is not None:
            await self._session.close()
            self._session = None


def choose_node(nodes: list[SoakNode], draws: random.Random) -> SoakNode | None:
    """Return a node for a new connection, as the platform chooses it."""
    there = [node for node in nodes if node.address is not None]
    usable = [node for node in there if node.taken_in] or there
    return draws.choice(usable) if usable else None


class Callers:
    """Runs programs against the nodes."""

    def __init__(
        self,
        nodes: list[SoakNode],
        promises: Promises,
        troubles: Troubles,
        draws: random.Random,
    ) -> None:
        self._nodes = nodes
        self._promises = promises
        self._troubles = troubles
        self._draws = draws
        self._tools = aiohttp.ClientSession(auto_decompress=False)
        self.budgets: dict[str, tuple[int, int]] = {}
        self._numbers = 0

    async def close(self) -> None:
        """Close every connection."""
        await self._tools.close()

    async def run_programs(self, stopped: Callable[[], bool]) -> None:
        """Run one program after the other on one kept connection."""
        connection = KeptConnection(self._nodes, self._draws)
        while not stopped():
            await self.run_program(connection)
        await connection.close()

    async def run_program(self, connection: KeptConnection | None = None) -> bool:
        """Run a new program; True when each of its turns was served."""
        kept = connection or KeptConnection(self._nodes, self._draws)
        turns = self._draws.randint(1, 6)
        spare = self._draws.choice([0, 0, 2])
        program = Program(
            f"p{self._number():x}",
            self._draws.choice(["stream", "kept"]),
            turns,
            MOST * (turns + spare),
        )
        self.budgets[program.name] = (program.budget, MOST)
        try:
            for number in range(program.turns):
                new_input = f"input {program.name} {number};".encode()
                if not await self._turn(program, new_input, kept):
                    return False
                kinds = ("safe", "unsafe")[: self._draws.randint(0, 2)]
                await asyncio.gather(*(self._call(program, kind) for kind in kinds))
            return True
        finally:
            if connection is None:
                await kept.close()

    async def _turn(self, program: Program, new_input: bytes, kept: KeptConnection) -> bool:
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
            opened = await kept.open()
            response = None
            if opened is not None:
                response = await self._send(attempt, body, headers, *opened)
            await kept.after(response)
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
            node = choose_node(self._nodes, self._draws)
            if node is not None:
                await self._send(attempt, b"call", {"Program": program.name}, node, self._tools)
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

    async def _send(
        self,
        attempt: Attempt,
        body: bytes,
        headers: dict[str, str],
        node: SoakNode,
        session: aiohttp.ClientSession,
    ) -> aiohttp.ClientResponse | None:
        """Send a request; returns its answer, or None when it was not answered whole."""
        sent = {"Host": HOST, "Request-Id": attempt.request_id, "Deadline-Ms": "3000", **headers}
        url = URL(f"http://{node.address}{PATHS[attempt.kind]}")
        attempt.node, attempt.sent_at = node.name, self._troubles.now()
        answered = None
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 0.5):
                async with session.post(url, data=body, headers=sent) as response:
                    attempt.status = response.status
                    attempt.stamp = response.headers.get("Response-Stamp")
                    await self._read(attempt, response)
                    answered = response
        except aiohttp.ClientConnectorError:
            attempt.whole = False
        except (aiohttp.ClientError, OSError):
            attempt.whole = False
            self._note_cut(attempt)
        except TimeoutError:
            attempt.whole = False
        self._promises.ended(attempt, EVENTS)
        return answered

    def _note_cut(self, attempt: Attempt) -> None:
        """Hold a connection that ended without an answer against a planned stop alone."""
        now = self._troubles.now()
        subjects = (attempt.node, STORE, WORKERS, HARNESS)
        kinds = self._troubles.between(subjects, attempt.sent_at - CONTACT_SECONDS, now)
        if kinds == {STOP}:
            self._promises.cut_by_a_stop(attempt, now - attempt.sent_at)

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
