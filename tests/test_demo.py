"""Test that the demo runs a complete journey plan and prints the scheduling decisions."""

import os
import subprocess
import sys

from foxwinch_process import ROOT, TIMEOUT_SECONDS


def test_demo_prints_its_decisions_and_exits_with_zero():
    demo = subprocess.run(
        [sys.executable, str(ROOT / "examples" / "demo.py")],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )
    assert demo.returncode == 0, demo.stderr
    table = demo.stdout.partition("What was decided:")[2].strip().splitlines()
    kinds = [line.split()[1] for line in table[1:]]
    assert kinds.count("model") == 5
    assert kinds.count("tool") == 3
    assert kinds.count("spawn") == 1
    assert demo.stdout.count("[confirm-seats] confirmed:") == 2
