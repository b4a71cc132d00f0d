"""What callers and workers saw, and the promises that it must keep."""

from collections import Counter
from dataclasses import dataclass, field

TOKENS_PER_EVENT = 25
SPENT = 402
PROBE = "probe"
"""Program of requests that belong to none."""
LOSS_SLACK_SECONDS = 0.2
"""After a request was sent until a connection that ends counts as cut."""
NOT_RUN_STATUSES = frozenset({SPENT, 408, 421, 429, 503})


@dataclass
class Attempt:
    """One request of a caller and what came of it."""

    request_id: str
    program: str
    kind: str
    """`stream`, `kept`, `safe` or `unsafe`."""
    prompt: bytes = b""
    """What a worker must read."""
    status: int | None = None
    """None: the connection ended without an answer."""
    whole: bool = False
    event_ids: list[int] = field(default_factory=list)
    data: list[str] = field(default_factory=list)
    stamp: str | None = None
    node: str = ""
    """Name of the node that it was sent to."""
    sent_at: float = 0.0


@dataclass
class Run:
    """One request as a worker began to run it."""

    request_id: str
    body: bytes
    first_event: int


class Promises:
    """Collects what was seen and tells what was broken."""

    def __init__(self) -> None:
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[Run] = []
        self.broken: list[str] = []
        self.outcomes: Counter[str] = Counter()

    def sent(self, attempt: Attempt) -> None:
        """Note a request before it is sent."""
        self.attempts[attempt.request_id] = attempt

    def probed(self, request_id: str, node: str) -> None:
        """Note a request that asks a node for its configuration; it is none of a program's."""
        self.attempts[request_id] = Attempt(request_id, PROBE, "safe", node=node)

    def ran(self, run: Run) -> None:
        """Note that a worker begins to run a request; checks what the worker got."""
        self.runs.append(run)
        attempt = self.attempts.get(run.request_id)
        if attempt is None:
            self._break("UNASKED", run.request_id, "no caller sent it")
        elif run.body != attempt.prompt:
            self._break("UNASKED", run.request_id, f"{run.body!r} in place of {attempt.prompt!r}")

    def ended(self, attempt: Attempt, end_id: int) -> None:
        """Check an answer; `end_id` is the id of a whole stream's last event."""
        self.outcomes[f"{attempt.kind} {attempt.status}"] += 1
        if attempt.stamp not in (None, f"stamp-{attempt.request_id}"):
            self._break("MIXED", attempt.request_id, f"stamp {attempt.stamp}")
        for text in attempt.data:
            if not text.startswith(attempt.request_id):
                self._break("MIXED", attempt.request_id, f"data {text!r}")
        if attempt.event_ids != list(range(1, len(attempt.event_ids) + 1)):
            self._break("ORDER", attempt.request_id, f"events {attempt.event_ids}")
        streamed = attempt.kind in ("stream", "kept") and attempt.status == 200
        if streamed and attempt.whole and attempt.event_ids[-1:] != [end_id]:
            self._break("ORDER", attempt.request_id, f"complete after {attempt.event_ids}")

    def cut_by_a_stop(self, attempt: Attempt, waited_seconds: float) -> None:
        """Note that a connection ended without an answer around nothing but a planned stop."""
        ran = any(run.request_id == attempt.request_id for run in self.runs)
        if ran or waited_seconds > LOSS_SLACK_SECONDS:
            self._break("LOST", attempt.request_id, f"cut by a planned stop of {attempt.node}")

    def drained_worker_asked(self, request_id: str, node: str, seconds: float) -> None:
        """Note a request at a worker whose drain the store had taken long before."""
        self._break("DRAIN", request_id, f"from {node}, {seconds:.1f} s after the drain")

    def configuration_late(self, node: str, version: int, detail: str) -> None:
        """Note a node that serves by an older configuration than it must."""
        self._break("CONFIG", node, f"version {version}: {detail}")

    def turn_not_found(self, attempt: Attempt, previous: str) -> None:
        """Note that a turn that was answered whole is said to be unknown."""
        self._break("LOST", attempt.request_id, f"no turn {previous}")

    def not_served(self, program: str) -> None:
        """Note that a program was not served though every fault was over."""
        self._break("RECOVER", program, "not served after the faults")

    def process_ended(self, node: str, code: int) -> None:
        """Note a process that ended by itself."""
        self._break("FAULT", node, f"ended by itself with {code}")

    def settle(self, budgets: dict[str, tuple[int, int]]) -> None:
        """Check what only the end tells; `budgets` is a program's budget and its largest turn."""
        runs = Counter(run.request_id for run in self.runs)
        for attempt in self.attempts.values():
            count = runs[attempt.request_id]
            if attempt.kind in ("unsafe", "kept") and count > 1:
                self._break("TWICE", attempt.request_id, f"ran {count} times")
            if count and attempt.status in NOT_RUN_STATUSES:
                self._break("REFUSED", attempt.request_id, f"{attempt.status}, and it ran")
        self._count_early_refusals(budgets, set(runs))
        spent: Counter[str] = Counter()
        for attempt in self.attempts.values():
            spent[attempt.program] += TOKENS_PER_EVENT * len(attempt.event_ids)
        for program, (budget, most) in budgets.items():
            if spent[program] > budget + most:
                self._break("BUDGET", program, f"{spent[program]} of {budget}")

    def _count_early_refusals(self, budgets: dict[str, tuple[int, int]], ran: set[str]) -> None:
        """Count programs told that their budget is spent though one more turn would fit.

        A figure, not a broken promise: what a killed node had leased counts as spent.
        """
        committed: Counter[str] = Counter()
        for attempt in self.attempts.values():
            if attempt.program == PROBE:
                continue
            budget, most = budgets[attempt.program]
            if attempt.status == SPENT and committed[attempt.program] + most <= budget:
                self.outcomes["spent too early"] += 1
            if attempt.kind in ("stream", "kept") and attempt.request_id in ran:
                used = TOKENS_PER_EVENT * len(attempt.event_ids)
                committed[attempt.program] += used if attempt.whole else most

    def _break(self, rule: str, subject: str, detail: str) -> None:
        self.broken.append(f"{rule} {subject}: {detail}")
