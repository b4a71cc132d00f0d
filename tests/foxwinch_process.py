"""Real foxwinch processes for tests: started, asked over HTTP and by the command line, ended."""

import json
import os
import subprocess
import sys
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).parents[1]
SECONDS = 90


class Foxwinch:
    """A foxwinch process; `wait_printed` returns once it has printed its addresses."""

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

    def wait_printed(self):
        """Read the addresses that the process prints."""
        while not self.expected <= self.printed.keys():
            line = self.process.stdout.readline()
            assert line, f"ended with {self.process.wait(SECONDS)} before it was ready"
            name, _, value = line.strip().partition("=")
            self.printed[name] = value
        return self

    def command(self, *arguments, key):
        """Run an operators' command against the process."""
        address = self.printed["operator_address"]
        variables = {"FOXWINCH_OPERATOR_ADDRESS": address, "FOXWINCH_OPERATOR_KEY": key}
        return subprocess.run(
            [sys.executable, "-m", "foxwinch", *arguments],
            env={**self.environment, **variables},
            capture_output=True,
            text=True,
            timeout=SECONDS,
            check=False,
        )

    def query(self, *arguments, key):
        """Run an operators' query and return its JSON."""
        return json.loads(self.command(*arguments, "--json", key=key).stdout)

    def get(self, path, key=""):
        """Read a path of the caller side; returns status and body."""
        return self._open(path, None, key)

    def post(self, path, body, key, idempotency_key=""):
        """Send JSON to the caller side; returns status and the parsed answer."""
        status, text = self._open(path, json.dumps(body).encode(), key, idempotency_key)
        return status, json.loads(text)

    def end(self):
        """Kill the process if it still runs."""
        self.process.kill()
        self.process.wait(SECONDS)
        self.process.stdout.close()

    def _open(self, path, data, key, idempotency_key=""):
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        request = urllib.request.Request(self.printed["caller_url"] + path, data, headers)
        try:
            with urllib.request.urlopen(request, timeout=SECONDS) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
