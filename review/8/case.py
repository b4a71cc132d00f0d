"""A node is killed right after a turn of programs that go on at other nodes."""

import asyncio
import os

from deployment import CONTACT_SECONDS, Answer, Deployment, Node, configuration
from outcome import BROKEN, HELD, NOT_RUN, main
from record import Record

IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is made."""
ZONES = ["caerdydd", "abertawe", "casnewydd", "wrecsam"]
NODE_ZONES = [*ZONES, *ZONES[:3]]
"""One of seven nodes is a share of 0.14."""
PROGRAMS = 2
TURNS = 30
TURN_TOKENS = 100
"""Tokens that each turn makes, which are also the most that its `Token-Count` allows."""
BUDGET = TURNS * TURN_TOKENS
EVENTS = TURN_TOKENS // 25
EVENT_SECONDS = 0.03
PAUSE_SECONDS = 0.18
WAY_SECONDS = 0.026
FINISH_SECONDS = TURNS * (1.5 * (EVENTS * EVENT_SECONDS + PAUSE_SECONDS) + WAY_SECONDS)
"""Time objective: 1.5 times what turns and pauses take on idle workers, and the way."""
TRIES = 6
MIN_TRIES = 5
TRY_INTERVAL_SECONDS = 0.5
"""The Retry-After of the refusals, which callers honour."""
DOWN_SECONDS = 1.0


class Program:
    """A program with one line of turns."""

    def __init__(self, deployment: Deployment, name: str) -> None:
        """Start the program."""
        self.name = name
        self.turns: list[str] = []
        """Request ids of the turns that were answered whole."""
        self.tokens = 0
        """Tokens that were handed out, those of tries that broke off included."""
        self.counted_tries: list[Answer] = []
        """Tries of the last turn at machines in touch."""
        self._deployment = deployment
        self._ends_at = deployment.record.now() + FINISH_SECONDS

    @property
    def is_before_aim(self) -> bool:
        """Whether the program's time objective has not passed."""
        return self._deployment.record.now() < self._ends_at

    async def turn(self, node: Node) -> Answer:
        """Send one try of the next turn."""
        headers: dict[str, object] = {
            "Program": self.name,
            "Session": f"{self.name}-main",
            "Finish_Ms": int(1e3 * (self._ends_at - self._deployment.record.now())),
            "Token_Budget": BUDGET,
            "Token_Count": f"840,{TURN_TOKENS}",
            "Model": "m",
        }
        if self.turns:
            headers["Previous_Turn"] = self.turns[-1]
        body = f"{self.name} turn {len(self.turns)}".encode()
        answer = await self._deployment.send(node, "POST", "/kept/turn", body, **headers)
        if answer.status == 200:
            self.tokens += 25 * len(answer.events)
        if answer.status == 200 and answer.is_whole:
            self.turns.append(answer.request_id)
        return answer


async def go_on(program: Program, nodes: list[Node], touched: asyncio.Event) -> None:
    """Take turns at one node; a turn that is not answered is asked at the others too."""
    home, failed = nodes[0], 0
    while len(program.turns) < TURNS and failed < TRIES:
        is_counted = touched.is_set() and program.is_before_aim
        answer = await program.turn(nodes[failed % len(nodes)] if failed else home)
        if answer.status == 200 and answer.is_whole:
            failed, program.counted_tries = 0, []
            await asyncio.sleep(PAUSE_SECONDS)
            continue
        failed += 1
        if is_counted:
            program.counted_tries.append(answer)
        await asyncio.sleep(TRY_INTERVAL_SECONDS)


async def first_turns(deployment: Deployment) -> list[Answer]:
    """Send first turns of new programs until cancelled."""
    turns: list[asyncio.Task[Answer]] = []
    try:
        while True:
            program = Program(deployment, f"new{len(turns)}")
            node = deployment.nodes[len(turns) % len(deployment.nodes)]
            turns.append(asyncio.create_task(program.turn(node)))
            await asyncio.sleep(0.2)
    except asyncio.CancelledError:
        return await asyncio.gather(*turns)


async def run(record: Record) -> int:
    """Return the outcome."""
    async with Deployment(record, NODE_ZONES) as deployment:
        for number, zone in enumerate(ZONES):
            worker = await deployment.add_worker(f"i-llm{number}", "llm", zone)
            worker.events, worker.pause_seconds = EVENTS, EVENT_SECONDS
        deployment.configure(configuration())
        if not await deployment.start_nodes():
            return NOT_RUN
        await asyncio.sleep(1.0)
        killed, *others = deployment.nodes
        programs = [Program(deployment, f"p{number:02d}") for number in range(PROGRAMS)]
        answers = await asyncio.gather(*(program.turn(killed) for program in programs))
        if not all(answer.is_whole for answer in answers):
            return NOT_RUN
        touched = asyncio.Event()
        if IS_DISRUPTED:
            await killed.kill()
        running = asyncio.gather(*(go_on(program, others, touched) for program in programs))
        if IS_DISRUPTED and not await deployment.restart([killed], DOWN_SECONDS):
            return NOT_RUN
        await asyncio.sleep(CONTACT_SECONDS + 0.2)
        touched.set()
        in_touch_at = record.add("all_in_touch")["at"]
        beginning = asyncio.ensure_future(first_turns(deployment))
        await running
        await asyncio.sleep(1.0)
        beginning.cancel()
        return judge(record, programs, await beginning, in_touch_at, deployment.workers[0].slots)


def judge(
    record: Record, programs: list[Program], begun: list[Answer], in_touch_at: float, slots: int
) -> int:
    """Check that no turn that fits its budget got to no worker in five tries or more."""
    runs = record.of("run")
    ran = {line["request"] for line in runs}
    reached = sum(answer.request_id in ran for answer in begun)
    most = max((line["running"] for line in runs if line["at"] >= in_touch_at), default=0)
    stuck = [
        program
        for program in programs
        if len(program.counted_tries) >= MIN_TRIES
        and program.tokens + TURN_TOKENS <= BUDGET
        and not any(answer.request_id in ran for answer in program.counted_tries)
    ]
    record.add(
        "judged",
        programs={program.name: [len(program.turns), program.tokens] for program in programs},
        budget=BUDGET,
        stuck=[program.name for program in stuck],
        answers=sorted(
            {f"{a.status} {a.body.decode()}" for program in stuck for a in program.counted_tries}
        ),
        first_turns=len(begun),
        first_turns_at_a_worker=reached,
        most_running_at_a_worker=most,
        slots=slots,
    )
    print(record.lines[-1])
    has_conditions = reached >= 0.9 * len(begun) > 0 and 2 * most < slots
    if stuck and not has_conditions:
        return NOT_RUN
    return BROKEN if stuck else HELD


main(__file__, run)
