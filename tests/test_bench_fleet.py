"""The hollow fleet at a small size: scenarios run, figures are filled in and bounded."""

import pytest

from foxwinch.bench.fleet.document import fleet_document
from foxwinch.bench.fleet.fleet import FleetShape
from foxwinch.bench.fleet.measures import by_size
from foxwinch.bench.fleet.parts import join_parts
from foxwinch.bench.fleet.run import SLOPES, merged, slopes, worst
from foxwinch.bench.fleet.scenarios import rack, steady, warm_up
from foxwinch.bench.fleet.world import FleetWorld


def test_a_small_fleet_converges_configures_and_replaces_a_failed_rack() -> None:
    world = FleetWorld(FleetShape(8, 2, 4), seed=2)
    assert warm_up(world) < 120
    calm = steady(world)
    assert calm.false_suspicions == calm.false_deaths == 0
    assert calm.config_seconds_max is not None
    assert 0 < calm.config_seconds_max < 11
    assert 0 < calm.control_bytes_per_second_p50 < 6_000
    assert calm.control_cpu_fraction_p50 > 0
    failed = rack(world)
    assert failed.detection_seconds_p99 is not None
    assert 0 < failed.detection_seconds_p99 < 10
    assert failed.unowned_shard_seconds > 0
    assert failed.takeover_seconds_max is not None
    assert world.all_shards_served()
    assert world.fleet.converged()


def test_shapes_spread_nodes_over_zones_and_regions() -> None:
    places = FleetShape(570, 8, 22).places()
    assert len({place.address for place in places}) == 570
    assert len({place.zone for place in places}) == 22
    assert len({place.region for place in places}) == 8
    assert len(fleet_document().document.tenants) == 200


def test_parts_of_one_commit_make_one_report() -> None:
    parts = [
        {"nodes": nodes, "memory_bytes_per_node": 1, "commit": commit, "scenarios": {name: {}}}
        for nodes, commit, name in ((36, "a", "day"), (143, "a", "zone"), (36, "a", "rack"))
    ]
    report = join_parts(parts)
    assert report["commit"] == "a"
    assert [(run["nodes"], list(run["scenarios"])) for run in report["runs"]] == [
        (36, ["day", "rack"]),
        (143, ["zone"]),
    ]
    with pytest.raises(ValueError, match="several commits"):
        join_parts([parts[0], {**parts[1], "commit": "b"}])


def test_reports_join_groups_take_the_worst_and_fit_exponents() -> None:
    def run(nodes: int, rate: float) -> dict[str, object]:
        figures = dict.fromkeys(SLOPES)
        steady = {**figures, "control_bytes_per_second_p50": rate}
        day = {**figures, "control_bytes_per_second_p50": 2 * rate}
        one = {"nodes": nodes, "memory_bytes_per_node": 1, "scenarios": {"steady": steady}}
        two = {"nodes": nodes, "memory_bytes_per_node": 3, "scenarios": {"day": day}}
        return merged([one, two])

    runs = [run(10, 100.0), run(100, 1000.0)]
    assert worst(runs[1])["control_bytes_per_second_p50"] == 2000.0
    assert worst(runs[1])["memory_bytes_per_node"] == 3
    assert slopes(runs)["control_bytes_per_second_p50"] == 1.0
    assert slopes(runs)["detection_seconds_p50"] is None
    whole = [{"nodes": n, "scenarios": {"day": {"x": n}}} for n in (1, 2)]
    whole = [{**run, "scenarios": {**run["scenarios"], "zone": {"x": 7}}} for run in whole]
    whole.append({"nodes": 3, "scenarios": {"zone": {"x": 7}}})
    assert by_size(whole, ("day", "zone"), "x") == [(1, 7), (2, 7), (3, 7)]
