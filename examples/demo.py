"""Run a journey plan through `foxwinch dev` and print the answers as they stream."""

import json
import os
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path

CONFIGURATION = Path(__file__).parent / "cledwyn.toml"
TURNS = (
    "Two adults and two children from Carmarthen to Wrecsam on Friday, please.",
    "The children should sit by a window.",
)


def main() -> int:
    """Start the node, run the program, stop the node; returns the exit code."""
    node = subprocess.Popen(
        [sys.executable, "-m", "foxwinch", "dev", "--configuration", str(CONFIGURATION)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert node.stdout is not None
        settings = {}
        while not {"caller_url", "caller_key"} <= settings.keys():
            line = node.stdout.readline()
            if not line:
                return node.wait(timeout=30) or 1
            name, _, value = line.strip().partition("=")
            settings[name] = value
        for turn in TURNS:
            ask(settings, turn)
    finally:
        node.send_signal(signal.SIGINT)
        node.wait(timeout=30)
    return 0


def ask(settings: dict[str, str], text: str) -> None:
    """Send one turn and print the answer as it streams."""
    body = {
        "model": "rail-chat",
        "messages": [{"role": "user", "content": text}],
        "stream": True,
        "max_tokens": 12,
    }
    request = urllib.request.Request(
        settings["caller_url"] + "/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": "Bearer " + settings["caller_key"], "Content-Type": "application/json"},
    )
    print(f"> {text}")
    with urllib.request.urlopen(request, timeout=30) as response:
        for line in response:
            data = line.strip().removeprefix(b"data: ")
            if data and data != b"[DONE]":
                for choice in json.loads(data)["choices"]:
                    print(choice["delta"].get("content", ""), end="", flush=True)
        print(f"\n  [worker {response.headers['X-Foxwinch-Worker']}]")


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    sys.exit(main())
