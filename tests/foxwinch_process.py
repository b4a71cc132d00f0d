"""foxwinch processes for tests, with access over HTTP and the command line."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).parents[1]
TIMEOUT_SECONDS = 90


class Foxwinch:
    """A foxwinch process."""

    def __init__(self, *arguments, expected):
        self.environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        self.expected = set(expected)
        self.printed = {}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "foxwinch", *arguments],
            stdout=subprocess.PIPE,
            text=True,
            env=self.environment,
        )

    def wait_until_printed(self):
        """Wait until the process has printed all expected addresses."""
        while not self.expected <= self.printed.keys():
            line = self.process.stdout.readline()
            assert line, (
                f"ended with {self.process.wait(TIMEOUT_SECONDS)} before it printed its addresses"
            )
            name, _, value = line.strip().partition("=")
            self.printed[name] = value
        return self

    def command(self, *arguments, key):
        """Run an operator command against the process."""
        address = self.printed["operator_address"]
        variables = {"FOXWINCH_OPERATOR_ADDRESS": address, "FOXWINCH_OPERATOR_KEY": key}
        return subprocess.run(
            [sys.executable, "-m", "foxwinch", *arguments],
            env={**self.environment, **variables},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )

    def query(self, *arguments, key):
        """Run an operator query and return its JSON output."""
        return json.loads(self.command(*arguments, "--json", key=key).stdout)

    def get(self, path, key=""):
        """Send a GET request to the public API; return status and body."""
        return self._open(path, None, key)

    def post(self, path, body, key, idempotency_key=""):
        """Send JSON to the public API; return status and the parsed response."""
        status, text = self._open(path, json.dumps(body).encode(), key, idempotency_key)
        return status, json.loads(text)

    def kill_process(self):
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait(TIMEOUT_SECONDS)
        self.process.stdout.close()

    def _open(self, path, data, key, idempotency_key=""):
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        request = urllib.request.Request(self.printed["caller_url"] + path, data, headers)
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
