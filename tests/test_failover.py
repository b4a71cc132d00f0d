"""Node processes are killed and replaced under load without lost, mixed or repeated calls."""

import asyncio
import time
from pathlib import Path

from foxwinch.bench.failover.calls import Outcome
from foxwinch.bench.failover.cluster import FailoverCluster
from foxwinch.bench.failover.operators import programs_by_owner
from foxwinch.bench.failover.programs import ProgramLoad
from foxwinch.bench.failover.verdict import FaultWindow, judge, recovery_seconds
from foxwinch.settings.load import load_cluster_configuration

PHYSIO = Path(__file__).parents[1] / "examples" / "physio.toml"
TIMEOUT_SECONDS = 90


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.1)


async def stop_and_judge(cluster, load, running, windows, planned):
    load.stop()
    await running
    return judge(load.records, await cluster.emulator_state(), windows, planned)


def completed_model_calls(load):
    return sum(c.kind == "model" and c.outcome is Outcome.DONE for c in load.calls())


async def test_programs_of_a_killed_owner_continue_on_other_nodes(tmp_path):
    async with FailoverCluster(load_cluster_configuration(PHYSIO), tmp_path) as cluster:
        load = ProgramLoad(cluster, callers=9, seed=1)
        running = asyncio.create_task(load.run())

        async def every_node_owns_programs():
            owned = await programs_by_owner(cluster)
            return {node.name for node in cluster.nodes} <= owned.keys()

        await wait_until(every_node_owns_programs)
        victim = cluster.nodes[0]
        affected = (await programs_by_owner(cluster))[victim.name]
        fault_at = time.monotonic()
        await cluster.kill(victim)
        live = {r.program_id for r in load.records if not r.read_back} & affected

        async def all_recovered():
            return len(recovery_seconds(load.records, live, fault_at)) == len(live)

        await wait_until(all_recovered)
        windows = [FaultWindow(fault_at, fault_at)]
        result = await stop_and_judge(cluster, load, running, windows, planned=False)
    assert result.violations() == 0, result.details
    assert (result.unanswered, result.not_read_back) == (0, 0), result.details


async def test_rolling_replacement_interrupts_and_repeats_nothing(tmp_path):
    async with FailoverCluster(load_cluster_configuration(PHYSIO), tmp_path) as cluster:
        load = ProgramLoad(cluster, callers=6, seed=2)
        running = asyncio.create_task(load.run())

        async def has_completed_calls():
            return completed_model_calls(load) >= 6

        await wait_until(has_completed_calls)
        for node in list(cluster.nodes):
            assert await cluster.replace(node) == 0
        result = await stop_and_judge(cluster, load, running, [], planned=True)
    assert result.violations() == 0, result.details
    assert (result.unanswered, result.not_read_back) == (0, 0), result.details
