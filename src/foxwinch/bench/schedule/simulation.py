"""Simulate the programs of a workload as callers of a pool in virtual time."""

from collections.abc import Sequence
from dataclasses import replace
from functools import partial

from foxwinch.bench.schedule.context import system_context
from foxwinch.bench.schedule.engines import MODEL
from foxwinch.bench.schedule.plans import CallPlan, unloaded_program_seconds
from foxwinch.bench.schedule.pool import Pool
from foxwinch.bench.schedule.pool_policy import PoolPolicy
from foxwinch.bench.schedule.result import SimulationResult
from foxwinch.bench.schedule.runs import Chain, ProgramRun
from foxwinch.bench.schedule.workload import Workload
from foxwinch.bench.simulator import Simulator
from foxwinch.core.coordinator.calls import PoolCall
from foxwinch.core.coordinator.events import ProgramPaused
from foxwinch.emulator.engine_parameters import EngineParameters
from foxwinch.identifiers import CallId, ClassName, ProgramId, TenantName, ToolName

TENANT = TenantName("tenant")
MAX_RETRIES = 3
"""Retries of a program over all its calls; the next refusal ends the program."""
FIRST_CHILD_NUMBER = 1_000_000
"""First history number of sub-agents, above the numbers of programs."""
MAX_DRAIN_SECONDS = 7200.0
"""Time after the last arrival at which running programs count as unfinished."""


class Simulation:
    """One simulation run of a workload under one policy."""

    def __init__(
        self,
        workload: Workload,
        parameters: EngineParameters,
        policy: PoolPolicy,
        keep_timeline: bool = False,
    ) -> None:
        """Create the pool; `run` schedules the arrivals."""
        self._parameters = parameters
        self._shapes = {shape.name: shape for shape in workload.deployment.classes}
        self._workload = workload
        self._simulator = Simulator()
        self._pool = Pool(workload, parameters, policy, self._simulator, self, keep_timeline)
        self._unfinished = 0
        self._calls = 0
        self._children = FIRST_CHILD_NUMBER
        self._runs: list[ProgramRun] = []

    def run(self) -> SimulationResult:
        """Run until every program has ended or the drain time is over."""
        self._pool.start()
        for plan in self._workload.programs:
            run = ProgramRun(plan, ProgramId(f"p{plan.number}"))
            self._runs.append(run)
            self._simulator.at(plan.arrival_seconds, partial(self._start, run))
        self._unfinished = len(self._runs)
        end = self._workload.duration_seconds + MAX_DRAIN_SECONDS
        self._simulator.run_while(lambda: self._unfinished > 0, end)
        return self._result(self._simulator.now)

    def _result(self, now: float) -> SimulationResult:
        totals = self._pool.engines.totals(now)
        for run in self._runs:
            if run.ended_at_seconds is None:
                run.ended_at_seconds = now
        return SimulationResult(
            self._runs,
            totals.prefill_tokens,
            totals.wasted_prefill_tokens,
            totals.held_dead_token_seconds,
            totals.ended_tokens,
            totals.busy_seconds,
            self._pool.timeline,
        )

    def remaining_seconds(self, call_id: CallId) -> float:
        """Return the remaining latency of a call's program on idle engines, for `Clairvoyant`."""
        run = self._pool.chains[call_id].run
        position = run.chains[run.program_id].position
        rest = replace(run.plan, calls=run.plan.calls[position:])
        return unloaded_program_seconds(self._parameters, rest)

    def answer_tokens(self, call_id: CallId) -> int:
        """Return the true output length of a call, for `Clairvoyant`."""
        return self._pool.chains[call_id].plan.output_tokens

    def _start(self, run: ProgramRun) -> None:
        plan = run.plan
        context = system_context(
            plan.number, plan.system_prefix, plan.system_tokens, self._parameters.block_tokens
        )
        chain = Chain(run, run.program_id, context, plan.calls)
        run.chains[chain.program_id] = chain
        self._submit_call(chain, self._simulator.now)

    def _submit_call(self, chain: Chain, now: float) -> None:
        """Submit the current call of a chain, unless the program has ended."""
        run = chain.run
        if run.ended_at_seconds is not None:
            return
        self._calls += 1
        chain.call_id = CallId(f"c{self._calls}")
        chain.engine = None
        shape = self._shapes[run.plan.class_name]
        elapsed = now - run.plan.arrival_seconds - run.paused_seconds
        call = PoolCall(
            call_id=chain.call_id,
            program_id=chain.program_id,
            tenant=TENANT,
            class_name=ClassName(shape.name),
            class_rank=shape.rank,
            model=MODEL,
            prompt_tokens=chain.prompt_tokens,
            output_tokens=shape.maximum_tokens,
            prefix_hashes=chain.context.hashes(chain.prompt_tokens),
            service_seconds=run.service_seconds,
            deadline_at_seconds=now + shape.deadline_seconds - elapsed,
            tree_id=run.program_id if chain.is_child else None,
        )
        self._schedule_abandonment(chain, now)
        self._pool.add_call(chain, call, now)

    def _schedule_abandonment(self, chain: Chain, now: float) -> None:
        plan = chain.run.plan
        if chain.is_child or plan.abandoned_call_index != chain.position:
            return
        if plan.abandon_delay_seconds is not None:
            at = now + plan.abandon_delay_seconds
            self._simulator.at(at, lambda: self._end(chain.run, "abandoned", self._simulator.now))

    def call_finished(self, chain: Chain, now: float) -> None:
        """Continue the program after a finished call."""
        run, plan = chain.run, chain.plan
        chain.context.tokens = chain.prompt_tokens + plan.output_tokens
        chain.position += 1
        if plan.children:
            self._start_children(chain, plan.children, now)
        elif plan.tool:
            self._pause(chain, plan.tool, plan.pause_seconds, now)
        elif chain.is_child:
            self._end_child(chain, now)
        else:
            self._end(run, "stopped" if run.plan.loops else "finished", now)

    def call_refused(self, chain: Chain, retry_after_seconds: float | None, now: float) -> None:
        """Retry after the given delay, or end the program."""
        run = chain.run
        run.refusals += 1
        if run.refusals > MAX_RETRIES or retry_after_seconds is None:
            self._end(run, "refused", now)
        else:
            self._simulator.at(
                now + retry_after_seconds, lambda: self._submit_call(chain, self._simulator.now)
            )

    def _pause(self, chain: Chain, tool: str, seconds: float, now: float) -> None:
        run = chain.run
        self._pool.decide(ProgramPaused(chain.program_id, ToolName(tool)), now)
        if not chain.is_child:
            run.paused_seconds += seconds
        is_abandoned = not chain.is_child and run.plan.abandoned_call_index == chain.position - 1
        if is_abandoned:
            self._simulator.at(
                now + seconds, lambda: self._end(run, "abandoned", self._simulator.now)
            )
        else:
            self._simulator.at(now + seconds, lambda: self._submit_call(chain, self._simulator.now))

    def _start_children(
        self, parent: Chain, children: Sequence[Sequence[CallPlan]], now: float
    ) -> None:
        run = parent.run
        run.running_children = len(children)
        for calls in children:
            run.children_started += 1
            self._children += 1
            program_id = ProgramId(f"{run.program_id}.{run.children_started}")
            child = Chain(run, program_id, parent.context.fork(self._children), tuple(calls))
            run.chains[program_id] = child
            self._submit_call(child, now)

    def _end_child(self, child: Chain, now: float) -> None:
        run = child.run
        del run.chains[child.program_id]
        self._pool.end_program(child.program_id, now)
        run.running_children -= 1
        if run.running_children == 0:
            self._submit_call(run.chains[run.program_id], now)

    def _end(self, run: ProgramRun, outcome: str, now: float) -> None:
        """End a program: cancel its calls, then notify the pool of the end of its chains."""
        if run.ended_at_seconds is not None:
            return
        run.ended_at_seconds = now
        run.outcome = outcome
        self._unfinished -= 1
        for chain in run.chains.values():
            self._pool.withdraw_call(chain, now)
        for program_id in list(run.chains):
            self._pool.end_program(program_id, now)
        run.chains.clear()
