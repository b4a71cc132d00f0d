"""Plan a family's train journey through a node with emulated services.

Runs `foxwinch dev` with `cledwyn.toml`. The demo uses the public HTTP API for the program, and the
operators' command line for the table of scheduling decisions at the end.
"""

import json
import os
import subprocess
import sys
import urllib.request
from pathlib import Path
from typing import Any

CONFIGURATION = Path(__file__).with_name("cledwyn.toml")
ADDRESSES = {"caller_url", "operator_address", "caller_key", "operator_key"}
TIMEOUT_SECONDS = 60
MODEL = "rail-chat"
SEATS = {"train": "1V52", "seats": ["C11", "C12", "C13", "C14"]}
HEADINGS = (
    "program",
    "call",
    "to",
    "worker",
    "prompt",
    "cached",
    "wait s",
    "latency s",
    "decided because",
)


class Demo:
    """A running node, with methods that call its public API and its operator API."""

    def __init__(self) -> None:
        """Start the node and read its addresses and keys."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "foxwinch", "dev", "--configuration", str(CONFIGURATION)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        assert self.process.stdout is not None
        self.node: dict[str, str] = {}
        while not self.node.keys() >= ADDRESSES:
            line = self.process.stdout.readline()
            if not line:
                raise SystemExit(f"the node exited with code {self.process.wait()}")
            name, _, value = line.strip().partition("=")
            self.node[name] = value

    def stop(self) -> int:
        """Drain the node and return its exit code."""
        self.process.terminate()
        return self.process.wait(TIMEOUT_SECONDS)

    def post(self, path: str, body: dict[str, Any], key: str = "") -> Any:
        """Send a request to the public API and return the open response."""
        headers = {
            "Authorization": f"Bearer {self.node['caller_key']}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        request = urllib.request.Request(
            self.node["caller_url"] + path, json.dumps(body).encode(), headers
        )
        return urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS)

    def send(self, path: str, body: dict[str, Any], key: str = "") -> dict[str, Any]:
        """Send a request and return the JSON document of its response."""
        with self.post(path, body, key) as response:
            document: dict[str, Any] = json.load(response)
        return document

    def send_turn(self, program: str, text: str, tokens: int = 24) -> None:
        """Add a turn to a program and print the model output as it is streamed."""
        print(f"\n> {text}")
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "stream": True,
            "max_tokens": tokens,
        }
        with self.post(f"/v1/programs/{program}/calls", body) as response:
            for line in response:
                data = line.strip().removeprefix(b"data: ")
                if data and data != b"[DONE]":
                    for choice in json.loads(data)["choices"]:
                        print(choice["delta"].get("content") or "", end="", flush=True)
        print()

    def call_tool(self, program: str, name: str, arguments: dict[str, Any], key: str = "") -> str:
        """Call a tool, print its result and return it."""
        body = {"tool": name, "arguments": arguments}
        response = self.send(f"/v1/programs/{program}/tools", body, key)
        content = str(response["message"]["content"])
        print(f"\n[{name}] {content}")
        return content

    def query_operator(self, *arguments: str) -> dict[str, Any]:
        """Run an operators' query and return its JSON document."""
        environment = {
            **os.environ,
            "FOXWINCH_OPERATOR_ADDRESS": self.node["operator_address"],
            "FOXWINCH_OPERATOR_KEY": self.node["operator_key"],
        }
        completed = subprocess.run(
            [sys.executable, "-m", "foxwinch", *arguments, "--json"],
            env=environment,
            stdout=subprocess.PIPE,
            check=True,
            timeout=TIMEOUT_SECONDS,
        )
        document: dict[str, Any] = json.loads(completed.stdout)
        return document


def main() -> int:
    """Run the demo and return the exit code of the node."""
    demo = Demo()
    try:
        programs = plan_journey(demo)
        print_decisions(demo, programs)
    finally:
        exit_code = demo.stop()
    return exit_code


def plan_journey(demo: Demo) -> list[str]:
    """Run the journey plan and return the names of its program and of its sub-agent's program."""
    new = {"template": "journey-planner", "name": "family-journey"}
    plan = demo.send("/v1/programs", new)["id"]
    demo.send_turn(
        plan, "Two adults and two children from Carmarthen to Wrecsam on Friday, please."
    )
    demo.call_tool(plan, "timetable", {"from": "Carmarthen", "to": "Wrecsam", "day": "Friday"})
    demo.send_turn(plan, "The ten o'clock is good. The children should sit by a window.")

    print("\nA sub-agent checks the change of trains.")
    child = demo.send(f"/v1/programs/{plan}/spawn", {"template": "itinerary"}, key="change")["id"]
    demo.send_turn(child, "Is the change at Newport step-free?")
    demo.send(f"/v1/programs/{child}/finish", {})

    held = demo.call_tool(plan, "hold-seats", SEATS, key="hold")
    demo.send_turn(plan, f"Seats are {held}. Please sum the journey up.")
    confirmed = demo.call_tool(plan, "confirm-seats", SEATS, key="confirm")
    print("Simulating a lost response: the confirmation is retried with its idempotency key.")
    repeated = demo.call_tool(plan, "confirm-seats", SEATS, key="confirm")
    if repeated != confirmed:
        raise SystemExit("the retried confirmation returned a different result")
    demo.send_turn(plan, "Thank you, that is all.")
    demo.send(f"/v1/programs/{plan}/finish", {})
    return [plan, child]


def print_decisions(demo: Demo, programs: list[str]) -> None:
    """Print a table of the scheduling decision for each call."""
    summaries = demo.query_operator("programs", "list")["programs"]
    program_ids = {
        entry["program_id"].split("/", 1)[-1]: entry["program_id"] for entry in summaries
    }
    rows: list[tuple[str, ...]] = [HEADINGS]
    for name in programs:
        detail = demo.query_operator("programs", "show", program_ids[name])["program"]
        rows += [decision_row(name, call) for call in detail["calls"]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    print("\nWhat was decided:")
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


def decision_row(name: str, call: dict[str, Any]) -> tuple[str, ...]:
    """Return the table row of one call."""
    return (
        name,
        call["kind"],
        call["target"].split("/", 1)[-1],
        call["worker"],
        str(call["prompt_tokens"]),
        str(call["cached_tokens"]),
        f"{call['waited_seconds']:.3f}",
        f"{call['latency_seconds']:.3f}",
        call["reason"],
    )


if __name__ == "__main__":
    sys.exit(main())
