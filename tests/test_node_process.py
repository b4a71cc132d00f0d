"""Tests of `foxwinch node` and `foxwinch dev`, run as separate processes."""

import json
import os
import signal
import subprocess
import sys

import pytest

from foxwinch_process import ROOT, TIMEOUT_SECONDS, Foxwinch

EXAMPLES = ROOT / "examples"


@pytest.fixture
def start_foxwinch():
    processes = []

    def start(*arguments, expected):
        processes.append(Foxwinch(*arguments, expected=expected))
        return processes[-1].wait_until_printed()

    yield start
    for process in processes:
        process.kill_process()


def test_dev_serves_operators_and_stops_on_sigterm(start_foxwinch):
    names = ("caller_url", "operator_address", "caller_key", "operator_key")
    dev = start_foxwinch("dev", "--configuration", str(EXAMPLES / "cledwyn.toml"), expected=names)
    key = dev.printed["operator_key"]
    nodes = dev.command("nodes", "list", "--json", key=key)
    (node,) = json.loads(nodes.stdout)["nodes"]
    assert node["state"] == "alive"
    current = dev.command("config", "get", "--json", key=key)
    assert json.loads(json.loads(current.stdout)["document_json"])["deployment"] == "cledwyn"
    diff = dev.command("config", "diff", str(EXAMPLES / "cledwyn.toml"), key=key)
    assert diff.returncode == 9
    assert "workers.llm-1.url" in diff.stdout
    assert dev.command("config", "status", key=key).returncode == 0
    refused = dev.command("nodes", "list", key="wrong")
    assert refused.returncode == 5
    missing = dev.command("programs", "show", "no-such-program", key=key)
    assert (missing.returncode, missing.stdout) == (7, "")
    clients = [sys.executable, str(ROOT / "tests" / "operator_clients.py")]
    report = json.loads(
        subprocess.run(
            [*clients, dev.printed["operator_address"]],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=True,
        ).stdout
    )
    assert report["health"] == "SERVING"
    assert "foxwinch.v1.Operator" in report["services"]
    assert report["schema_names_drain"]
    dev.process.send_signal(signal.SIGTERM)
    assert dev.process.wait(TIMEOUT_SECONDS) == 0


def test_node_serves_health_and_an_operator_drains_it(start_foxwinch):
    names = ("caller_url", "operator_address", "peer_address")
    settings = str(EXAMPLES / "node-tvm-hall.toml")
    ports = ("--caller-port", "0", "--operator-port", "0", "--peer-port", "0")
    node = start_foxwinch("node", "--settings", settings, *ports, expected=names)
    assert node.get("/healthz")[0] == 200
    assert node.get("/metrics")[0] == 200
    key = "example-operator-key"
    listed = json.loads(node.command("nodes", "list", "--json", key=key).stdout)
    drained = node.command("nodes", "drain", listed["nodes"][0]["node"], key=key)
    assert drained.returncode == 0
    assert node.process.wait(TIMEOUT_SECONDS) == 0


def test_node_rejects_invalid_settings_before_it_starts():
    refused = subprocess.run(
        [sys.executable, "-m", "foxwinch", "node", "--name", "n", "--region", "r"],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
    )
    assert refused.returncode == 2
    assert "zone: missing" in refused.stderr
