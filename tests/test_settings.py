"""Settings and cluster configurations: examples are valid, errors name the wrong value."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from foxwinch.settings.base import SettingsError, check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.load import load_cluster_configuration, load_node_settings, load_proposed

EXAMPLES = Path(__file__).parents[1] / "examples"


@pytest.mark.parametrize(
    ("name", "zones", "engines", "tools"), [("physio", 3, 6, 3), ("cledwyn", 4, 7, 4)]
)
def test_examples_have_the_expected_sizes(name, zones, engines, tools):
    document = load_cluster_configuration(EXAMPLES / f"{name}.toml")
    assert isinstance(document, ClusterConfiguration)
    kinds = {pool.name: pool.kind for pool in document.pools}
    counts = [kinds[worker.pool] for worker in document.workers]
    assert len(document.zones) == zones
    assert (counts.count("engine"), counts.count("tool")) == (engines, tools)
    assert {worker.zone for worker in document.workers} == set(document.zones)


def test_tools_with_side_effects_are_not_repeatable():
    repeatable_by_tool = {}
    for name in ("physio", "cledwyn"):
        document = load_cluster_configuration(EXAMPLES / f"{name}.toml")
        repeatable_by_tool.update({tool.name: tool.repeatable for tool in document.tools})
    assert not any(repeatable_by_tool[n] for n in ("session-log", "confirm-seats", "release-seats"))
    assert repeatable_by_tool["timetable"]


@pytest.mark.parametrize("name", ["node-tvm-hall", "node-caerdydd"])
def test_node_examples_load_with_their_configuration(name):
    path = EXAMPLES / f"{name}.toml"
    settings = load_node_settings(path, {"zone": "nedu-hall", "platform.store_url": "http://h/t"})
    assert settings.zone == "nedu-hall"
    assert settings.platform.store_url == "http://h/t"
    assert settings.platform.machines_url == "http://127.0.0.1:7100/platform"
    proposed = load_proposed(settings, path)
    assert proposed.region == settings.region


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"caller_prot": 1}, ("caller_prot", "unknown field", "caller_port")),
        ({"caller_port": 70_000}, ("caller_port", "70000", "65535")),
        ({"zone": None}, ("zone", "missing")),
        ({"log_level": "LOUD"}, ("log_level", "LOUD", "WARNING")),
        ({"host": "node.example"}, ("host", "node.example", "IP number")),
        ({"seeds": ["somewhere"]}, ("seeds", "somewhere", "ip:port")),
    ],
)
def test_an_invalid_setting_is_reported_with_field_value_and_allowed_values(
    tmp_path, change, expected
):
    values = {"name": "n", "region": "r", "zone": "z", **change}
    lines = [f"{k} = {json.dumps(v)}" for k, v in values.items() if v is not None]
    path = tmp_path / "node.toml"
    path.write_text("\n".join(lines), encoding="utf-8")
    refused = load_node_settings(path, {})
    assert isinstance(refused, SettingsError)
    for part in (str(path), *expected):
        assert part in str(refused)


def test_a_dangling_reference_is_reported_with_the_existing_names():
    values = read_toml(EXAMPLES / "physio.toml")
    values["tools"][0]["pool"] = "nowhere"
    refused = check(ClusterConfiguration, values, "physio")
    assert isinstance(refused, SettingsError)
    for part in ("tools.exercise-library.pool", "'nowhere'", "patient-app"):
        assert part in str(refused)


def run_command(*arguments, **environment):
    return subprocess.run(
        [sys.executable, "-m", "foxwinch", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={"PATH": "", "PYTHONPATH": str(EXAMPLES.parent / "src"), **environment},
    )


def test_schemas_are_printed():
    printed = run_command("settings", "schema", "node")
    assert "caller_port" in json.loads(printed.stdout)["properties"]


def test_errors_are_printed_to_standard_error_with_the_next_step(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('deployment = "x"', encoding="utf-8")
    refused = run_command("config", "check", str(path))
    assert (refused.returncode, refused.stdout) == (2, "")
    assert "region: missing" in refused.stderr
    assert "next: " in refused.stderr
    unreachable = run_command("nodes", "list", "--address", "127.0.0.1:1")
    assert (unreachable.returncode, unreachable.stdout) == (4, "")
    assert "next: " in unreachable.stderr
