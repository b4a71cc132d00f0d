"""Callers of agent programs, and the check that a turn is not kept from the workers."""

import asyncio
from collections.abc import Callable

from deployment import Answer, Deployment, Node
from outcome import BROKEN, HELD, NOT_RUN
from record import Record

FINISH_SECONDS = 60.0
"""Time from the start of a program to its aim."""
TRIES = 8
MIN_TRIES = 5
TRY_INTERVAL_SECONDS = 1.0
"""Callers honour Retry-After up to a third of the time they have left, which is one second."""
FIRST_TURN_INTERVAL_SECONDS = 0.2


class Program:
    """A program of two turns; the second one goes on from the first one."""

    def __init__(self, deployment: Deployment, name: str) -> None:
        """Start a program."""
        self.name = name
        self.first = ""
        """Request id of the first turn once it was answered whole."""
        self._deployment = deployment
        self._ends_at = deployment.record.now() + FINISH_SECONDS

    async def turn(
        self,
        node: Node,
        body: bytes,
        previous: str | None,
        *,
        session: str = "main",
        on_event: Callable | None = None,
    ) -> Answer:
        """Send one try of a turn."""
        left_seconds = self._ends_at - self._deployment.record.now()
        headers: dict[str, object] = {
            "Program": self.name,
            "Session": f"{self.name}-{session}",
            "Finish_Ms": int(1e3 * left_seconds),
            "Token_Budget": 50_000,
            "Token_Count": "840,300",
            "Model": "m",
        }
        if previous is not None:
            headers["Previous_Turn"] = previous
        return await self._deployment.send(
            node, "POST", "/kept/turn", body, on_event=on_event, **headers
        )

    async def first_turn(self, node: Node) -> bool:
        """Take the first turn; return whether it was answered whole."""
        answer = await self.turn(node, f"{self.name} first".encode(), None)
        self.first = answer.request_id
        return answer.status == 200 and answer.is_whole


class Line:
    """The second turn of a program in one of its lines of turns, and its tries."""

    def __init__(self, program: Program, session: str = "main", text: str = "second") -> None:
        """Ask for a turn whose new input is `text`."""
        self.program = program
        self.session = session
        self.tries: list[Answer] = []
        self._text = text

    async def ask(self, node: Node) -> Answer:
        """Send one try."""
        body = f"{self.program.name} {self._text}".encode()
        return await self.program.turn(node, body, self.program.first, session=self.session)

    async def come_back(self, nodes: list[Node], offset: int) -> None:
        """Ask until the turn is answered whole, at one node after the other."""
        for number in range(TRIES):
            answer = await self.ask(nodes[(offset + number) % len(nodes)])
            self.tries.append(answer)
            if answer.status == 200 and answer.is_whole:
                return
            await asyncio.sleep(TRY_INTERVAL_SECONDS)


async def send_first_turns(deployment: Deployment) -> list[Answer]:
    """Send first turns of new programs until cancelled."""
    turns: list[asyncio.Task[Answer]] = []
    try:
        while True:
            program = Program(deployment, f"new{len(turns)}")
            node = deployment.nodes[len(turns) % len(deployment.nodes)]
            body = f"new {len(turns)}".encode()
            turns.append(asyncio.create_task(program.turn(node, body, None)))
            await asyncio.sleep(FIRST_TURN_INTERVAL_SECONDS)
    except asyncio.CancelledError:
        return await asyncio.gather(*turns)


async def come_back_all(deployment: Deployment, lines: list[Line]) -> int:
    """Let programs ask again while others begin, and return the outcome of the case.

    All machines are in touch by then.
    """
    back_at = deployment.record.add("all_in_touch")["at"]
    others = asyncio.ensure_future(send_first_turns(deployment))
    await asyncio.gather(*(line.come_back(deployment.nodes, n) for n, line in enumerate(lines)))
    others.cancel()
    return judge_turns(deployment.record, lines, await others, back_at, deployment.workers[0].slots)


def judge_turns(
    record: Record, lines: list[Line], others: list[Answer], back_at: float, slots: int
) -> int:
    """Check that no turn got to no worker in five tries or more; return the outcome."""
    runs = record.of("run")
    ran = {line["request"] for line in runs}
    reached = sum(answer.request_id in ran for answer in others)
    most = max((line["running"] for line in runs if line["at"] >= back_at), default=0)
    stuck = [
        line
        for line in lines
        if len(line.tries) >= MIN_TRIES
        and not any(answer.request_id in ran for answer in line.tries)
    ]
    tries = [answer for line in stuck for answer in line.tries]
    record.add(
        "judged",
        turns=len(lines),
        stuck=[f"{line.program.name}/{line.session}" for line in stuck],
        answers=sorted({f"{answer.status} {answer.body.decode()}" for answer in tries}),
        retry_after=sorted({str(answer.headers.get("retry-after")) for answer in tries})[:5],
        first_turns=len(others),
        first_turns_at_a_worker=reached,
        most_running_at_a_worker=most,
        slots=slots,
    )
    print(record.lines[-1])
    has_conditions = reached >= 0.9 * len(others) > 0 and 2 * most < slots
    if stuck and not has_conditions:
        return NOT_RUN
    return BROKEN if stuck else HELD
