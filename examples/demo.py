"""A family's journey plan through a node with stand-ins, from the first question to the seats.

Runs `foxwinch dev` with `cledwyn.toml`, and uses nothing but its two sides: HTTP as any caller
would, and the operators' command line for the table of decisions at the end.
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
    """One running node and the program that goes through it."""

    def __init__(self) -> None:
        """Start the node and wait for its addresses."""
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
                raise SystemExit(f"the node ended with code {self.process.wait()}")
            name, _, value = line.strip().partition("=")
            self.node[name] = value

    def stop(self) -> int:
        """Drain the node; returns its exit code."""
        self.process.terminate()
        return self.process.wait(TIMEOUT_SECONDS)

    def post(self, path: str, body: dict[str, Any], key: str = "") -> Any:
        """Send a request to the caller side; returns the open response."""
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

    def read(self, path: str, body: dict[str, Any], key: str = "") -> dict[str, Any]:
        """Send a request and read its whole answer."""
        with self.post(path, body, key) as response:
            document: dict[str, Any] = json.load(response)
        return document

    def say(self, program: str, text: str, tokens: int = 24) -> None:
        """Add a turn to a program and print the answer as it streams."""
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

    def tool(self, program: str, name: str, arguments: dict[str, Any], key: str = "") -> str:
        """Call a tool and print its answer."""
        body = {"tool": name, "arguments": arguments}
        answer = self.read(f"/v1/programs/{program}/tools", body, key)
        content = str(answer["message"]["content"])
        print(f"\n[{name}] {content}")
        return content

    def operator(self, *arguments: str) -> dict[str, Any]:
        """Run an operators' query."""
        environment = {
            **os.environ,
            "FOXWINCH_OPERATOR_ADDRESS": self.node["operator_address"],
            "FOXWINCH_OPERATOR_KEY": self.node["operator_key"],
        }
        answer = subprocess.run(
            [sys.executable, "-m", "foxwinch", *arguments, "--json"],
            env=environment,
            stdout=subprocess.PIPE,
            check=True,
            timeout=TIMEOUT_SECONDS,
        )
        document: dict[str, Any] = json.loads(answer.stdout)
        return document


def main() -> int:
    """Run the journey plan; returns the exit code."""
    demo = Demo()
    try:
        programs = plan_journey(demo)
        print_decisions(demo, programs)
    finally:
        code = demo.stop()
    return code


def plan_journey(demo: Demo) -> list[str]:
    """Go through the family's plan; returns its program and the sub-agent's."""
    new = {"template": "journey-planner", "name": "family-journey"}
    plan = demo.read("/v1/programs", new)["id"]
    demo.say(plan, "Two adults and two children from Carmarthen to Wrecsam on Friday, please.")
    demo.tool(plan, "timetable", {"from": "Carmarthen", "to": "Wrecsam", "day": "Friday"})
    demo.say(plan, "The ten o'clock is good. The children should sit by a window.")

    print("\nA sub-agent looks into the change of trains.")
    child = demo.read(f"/v1/programs/{plan}/spawn", {"template": "itinerary"}, key="change")["id"]
    demo.say(child, "Is the change at Newport step-free?")
    demo.read(f"/v1/programs/{child}/finish", {})

    held = demo.tool(plan, "hold-seats", SEATS, key="hold")
    demo.say(plan, f"Seats are {held}. Please sum the journey up.")
    confirmed = demo.tool(plan, "confirm-seats", SEATS, key="confirm")
    print("The answer seems lost: the same confirmation is sent again under its key.")
    repeated = demo.tool(plan, "confirm-seats", SEATS, key="confirm")
    if repeated != confirmed:
        raise SystemExit("the repeated confirmation got another answer")
    demo.say(plan, "Thank you, that is all.")
    demo.read(f"/v1/programs/{plan}/finish", {})
    return [plan, child]


def print_decisions(demo: Demo, programs: list[str]) -> None:
    """Print what was decided for each call."""
    listed = demo.operator("programs", "list")["programs"]
    identities = {entry["program_id"].split("/", 1)[-1]: entry["program_id"] for entry in listed}
    rows: list[tuple[str, ...]] = [HEADINGS]
    for name in programs:
        detail = demo.operator("programs", "show", identities[name])["program"]
        rows += [row_of(name, call) for call in detail["calls"]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    print("\nWhat was decided:")
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


def row_of(name: str, call: dict[str, Any]) -> tuple[str, ...]:
    """Return the table's row of one call."""
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
