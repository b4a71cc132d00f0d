"""The lease of a killed node blocks a program's next turns although its budget is not spent."""

import asyncio
import random
import signal
from dataclasses import dataclass, field
from pathlib import Path

from standins.client import Answer, Connection, new_request_id
from standins.harness import SLOTS_PER_WORKER, CaseError, Deployment, run_case, trouble
from standins.node import Node
from standins.worker import ModelWorker

HOST = "plans.example"
NODES = 7
"""One of them is killed: a share of 0.14; the site file's `node_kill` has `share = 0.16`."""
DOWN_SECONDS = 0.5
CONTACT_SECONDS = 3.0
LEASE_END_SECONDS = 16.0
"""Time after the kill when the killed node's lease has ended; only for the record."""
TOKENS_PER_EVENT = 23
EVENTS = 25
TURN_TOKENS = TOKENS_PER_EVENT * EVENTS
"""575, the second number of `Token-Count` in the example of the pages."""
BUDGET = 4_600
"""`Token-Budget` in the example of the pages: eight turns at their most."""
TURNS = 8
PROGRAMS = 14
INPUT_TOKENS = 400
"""Tokens of the new input of one turn."""
PAUSE_SECONDS = 0.25
"""Time for the tools between two turns."""
EVENT_SECONDS = 0.03
AIM_FACTOR = 1.5
"""A program's aim, as a multiple of its time on idle workers, as for `journey-plan`."""
AIM_EXTRA_SECONDS = 0.2
AIM_SECONDS = (
    AIM_FACTOR * (TURNS * EVENTS * EVENT_SECONDS + (TURNS - 1) * PAUSE_SECONDS) + AIM_EXTRA_SECONDS
)
DEADLINE_SECONDS = 3.0
TURN_REPEATS = 2
"""A failed turn goes out again at most so often."""
FIRST_TURN_INTERVAL_SECONDS = 0.3
TRIES = 5
FIRST_TURN_SHARE = 0.9
REFUSED = (429, 503)
FINAL = (400, 401, 402, 403, 404, 413)


@dataclass
class Try:
    """One request of a turn."""

    request_id: str
    node: Node
    sent_at: float
    busy_share: float
    """The share of the workers' slots that were taken."""
    answer: Answer


@dataclass
class Program:
    """A program with one line of turns."""

    name: str
    started_at: float = 0.0
    previous: str | None = None
    tokens: int = 0
    """Tokens that the client received."""
    tries: dict[int, list[Try]] = field(default_factory=dict)
    """Requests by number of the turn."""


class Clients:
    """Clients that run programs; a connection that is open stays with its node."""

    def __init__(self, deployment: Deployment) -> None:
        """Use the deployment's nodes."""
        self._deployment = deployment
        self._record = deployment.record
        self._random = random.Random(1)
        self.killed: Node | None = None
        """The node that is down, to which the platform passes no connections."""

    async def run_program(self, program: Program, turns: int, node: Node) -> None:
        """Run the turns of a program one after another until one is given up."""
        program.started_at = self._record.now()
        connection: tuple[Node, Connection] | None = (node, await Connection.open(node.port))
        for number in range(1, turns + 1):
            connection = await self._run_turn(program, number, connection)
            if connection is None:
                return
            await asyncio.sleep(PAUSE_SECONDS)
        connection[1].close()
        self._record.write(f"program {program.name} is complete, {program.tokens} tokens")

    async def _run_turn(
        self, program: Program, number: int, connection: tuple[Node, Connection] | None
    ) -> tuple[Node, Connection] | None:
        """Run one turn with its repeats; return the connection, or None if it was given up."""
        program.tries[number] = []
        for repeat in range(1 + TURN_REPEATS):
            if repeat:
                await asyncio.sleep(self._random.uniform(0.1, 0.4))
            deadline_at = self._record.now() + DEADLINE_SECONDS
            for last in (False, True):
                connection = connection or await self._connect(program.tries[number])
                answer = await self._send(program, number, connection, deadline_at)
                if answer.status == 200 and answer.whole:
                    return connection
                connection[1].close()
                connection = None
                if answer.status in FINAL:
                    self._record.write(f"program {program.name} ends with {answer.status}")
                    return None
                if last or answer.status not in REFUSED:
                    break
                left = deadline_at - self._record.now()
                wait = float(answer.headers.get("retry-after", 0))
                await asyncio.sleep(min(wait, left / 3))
        self._record.write(f"program {program.name} gives turn {number} up")
        return None

    async def ask_again(self, program: Program) -> None:
        """Send the turn that was given up once more."""
        number = max(program.tries)
        connection = await self._connect(program.tries[number])
        await self._send(program, number, connection, self._record.now() + DEADLINE_SECONDS)
        connection[1].close()

    async def _connect(self, earlier: list[Try]) -> tuple[Node, Connection]:
        """Open a connection to a node that was not tried last, as the platform does."""
        last = earlier[-1].node if earlier else None
        nodes = [
            node for node in self._deployment.nodes if node is not last and node is not self.killed
        ]
        node = self._random.choice(nodes)
        return node, await Connection.open(node.port)

    async def _send(
        self,
        program: Program,
        number: int,
        connection: tuple[Node, Connection],
        deadline_at: float,
    ) -> Answer:
        node, channel = connection
        request_id = new_request_id()
        now = self._record.now()
        left = deadline_at - now
        headers = self._headers(program, number, request_id, left)
        busy = sum(worker.running for worker in self._deployment.workers)
        busy_share = busy / (SLOTS_PER_WORKER * len(self._deployment.workers))
        self._record.write(f"{program.name} turn {number}: {request_id} to {node.name}")
        answer = Answer()
        try:
            async with asyncio.timeout(left):
                await channel.send("POST", "/plan/next", headers, f"{number};".encode())
                answer = await channel.receive()
        except (TimeoutError, ConnectionError):
            channel.close()
        events = answer.body.count(b"\n\n") if answer.status == 200 else 0
        program.tokens += TOKENS_PER_EVENT * events
        program.tries[number].append(Try(request_id, node, now, busy_share, answer))
        self._record.write(f"{program.name} turn {number}: {answer.describe()}")
        if answer.status == 200 and answer.whole:
            program.previous = request_id
        return answer

    def _headers(
        self, program: Program, number: int, request_id: str, left: float
    ) -> dict[str, str]:
        to_aim = program.started_at + AIM_SECONDS - self._record.now()
        part_tokens = [INPUT_TOKENS + TURN_TOKENS] * (number - 1) + [INPUT_TOKENS]
        parts = [
            f"{program.name.encode().hex()}{part:02x}:{tokens}"
            for part, tokens in enumerate(part_tokens)
        ]
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Program": program.name,
            "Session": f"{program.name}s",
            "Finish-Ms": str(max(0, int(1e3 * to_aim))),
            "Token-Budget": str(BUDGET),
            "Token-Count": f"{sum(part_tokens)},{TURN_TOKENS}",
            "Prompt-Prefix": ",".join(parts),
            "Model": "m",
            "Deadline-Ms": str(int(1e3 * left)),
        }
        if program.previous is not None:
            headers["Previous-Turn"] = program.previous
        return headers


class Judge:
    """Checks the rule LOST for turns that name an earlier turn."""

    def __init__(self, deployment: Deployment, calm_at: float) -> None:
        """Count only requests sent after `calm_at`, `contact_ms` after the disruption."""
        self._ran = set().union(*(worker.ran for worker in deployment.workers))
        self._calm_at = calm_at

    def check(self, programs: list[Program], first_turns: list[Program]) -> list[str]:
        """Return a line for each turn that broke the rule."""
        firsts = [
            entry.request_id
            for program in first_turns
            for entry in program.tries.get(1, [])
            if entry.sent_at >= self._calm_at
        ]
        share = sum(request_id in self._ran for request_id in firsts) / max(1, len(firsts))
        if share < FIRST_TURN_SHARE:
            return []
        broken = []
        for program in programs:
            for number, tries in program.tries.items():
                if number > 1 and self._is_lost(program, tries):
                    broken.append(
                        f"LOST: turn {number} of {program.name} reached no worker in {len(tries)}"
                        f" tries; the client had {program.tokens} of {BUDGET} tokens;"
                        f" {share:.0%} of {len(firsts)} first turns reached one"
                    )
        return broken

    def _is_lost(self, program: Program, tries: list[Try]) -> bool:
        if any(entry.request_id in self._ran for entry in tries):
            return False
        counted = [
            entry
            for entry in tries
            if entry.sent_at >= self._calm_at
            and entry.sent_at < program.started_at + AIM_SECONDS
            and entry.busy_share < 0.5
        ]
        return len(counted) >= TRIES


async def case(deployment: Deployment) -> list[str]:
    """Kill the node that served the first turn of some programs."""
    record = deployment.record
    workers = []
    for number in range(1, 4):
        zone = f"zone-{number}"
        worker = ModelWorker(f"i-{number}", "planner", zone, deployment.store, record)
        worker.events, worker.interval_seconds = EVENTS, EVENT_SECONDS
        workers.append(worker)
    route = {
        "name": "plans",
        "host": HOST,
        "path_prefix": "/plan/",
        "type": "stream",
        "service": "planner",
        "attempts": 2,
        "timeout_ms": 3_000,
        "target_ms": 200,
        "priority": 0,
        "sticky": True,
        "resumable": False,
        "retain": True,
        "retain_s": 60,
        "gap_aim_ms": 300,
    }
    service = {
        "name": "planner",
        "health_path": "/health",
        "max_conns": 180,
        "engine": {"slots": SLOTS_PER_WORKER, "chunk_tokens": TOKENS_PER_EVENT},
    }
    zones = [f"zone-{1 + number % 3}" for number in range(NODES)]
    await deployment.start(zones, list(workers), [route], [service])
    clients = Clients(deployment)
    programs = [Program(f"p{number}") for number in range(PROGRAMS)]
    running = [
        asyncio.ensure_future(clients.run_program(program, TURNS, deployment.nodes[number % NODES]))
        for number, program in enumerate(programs)
    ]
    calm_at = await _kill_one(deployment, clients, programs[0])
    first_turns: list[Program] = []
    controls = []
    while not all(task.done() for task in running):
        program = Program(f"c{len(first_turns)}")
        first_turns.append(program)
        node = deployment.nodes[1 + len(first_turns) % (NODES - 1)]
        controls.append(asyncio.ensure_future(clients.run_program(program, 1, node)))
        await asyncio.sleep(FIRST_TURN_INTERVAL_SECONDS)
    await asyncio.gather(*running, *controls)
    broken = Judge(deployment, calm_at).check(programs, first_turns)
    if broken:
        await asyncio.sleep(calm_at + LEASE_END_SECONDS - CONTACT_SECONDS - record.now())
        record.write("the killed node's lease has ended; the program asks once more")
        await clients.ask_again(programs[0])
    return broken


async def _kill_one(deployment: Deployment, clients: Clients, program: Program) -> float:
    """Kill the program's node after its first turn, start it again; return when all is calm."""
    while program.previous is None:
        if program.tries.get(1):
            raise CaseError("the first turn was not served")
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    node = deployment.nodes[0]
    if not trouble():
        return deployment.record.now()
    node.signal(signal.SIGKILL)
    clients.killed = node
    node.end()
    await asyncio.sleep(DOWN_SECONDS)
    node.start()
    calm_at = deployment.record.now() + CONTACT_SECONDS
    if not await node.wait_ready():
        raise CaseError("the killed node did not come back")
    clients.killed = None
    return calm_at


run_case(Path(__file__).resolve(), case)
