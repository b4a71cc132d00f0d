"""`foxwinch emulator` run as a separate process."""

import json
import os
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TIMEOUT_SECONDS = 60


def start_emulator(*arguments):
    return subprocess.Popen(
        [sys.executable, "-m", "foxwinch", "emulator", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
    )


def test_serves_the_example_and_stops_on_sigterm():
    process = start_emulator("--settings", str(ROOT / "examples" / "emulator.toml"), "--port", "0")
    try:
        printed = dict(process.stdout.readline().strip().split("=", 1) for _ in range(5))
        with urllib.request.urlopen(
            printed["machines_url"] + "/machines", timeout=TIMEOUT_SECONDS
        ) as response:
            machines = json.load(response)["machines"]
        assert [machine["name"] for machine in machines] == ["llm-1", "llm-2", "booking-1"]
        assert printed["emulator_url"].endswith(machines[0]["address"])
        process.send_signal(signal.SIGTERM)
        assert process.wait(TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
        process.communicate(timeout=TIMEOUT_SECONDS)


def test_lost_response_aborts_the_connection():
    process = start_emulator("--settings", str(ROOT / "examples" / "emulator.toml"), "--port", "0")
    try:
        printed = dict(process.stdout.readline().strip().split("=", 1) for _ in range(5))
        faults = b'{"machines": {"lose_answers": 1}}'
        request = urllib.request.Request(
            printed["emulator_url"] + "/faults", faults, {"Content-Type": "application/json"}
        )
        with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as response:
            assert response.status == 200
        with pytest.raises(ConnectionError):
            urllib.request.urlopen(printed["machines_url"] + "/machines", timeout=TIMEOUT_SECONDS)
    finally:
        process.kill()
        process.communicate(timeout=TIMEOUT_SECONDS)


def test_invalid_settings_are_rejected_with_the_field_name(tmp_path):
    file = tmp_path / "emulator.toml"
    file.write_text("[faults.store]\nlose_answer = 1\n")
    process = start_emulator("--settings", str(file))
    _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
    assert process.returncode == 2
    assert "faults.store.lose_answer: unknown field" in errors
    assert "lose_answers" in errors
