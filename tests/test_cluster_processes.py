"""Three node processes: a program served by all of them, a kill and a graceful shutdown."""

import re
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from foxwinch.gateway.authentication import hash_key
from foxwinch_process import ROOT, TIMEOUT_SECONDS, Foxwinch

KEY = "a-key-of-the-tests"
ZONES = ("tvm-hall", "kollam-hall", "nedu-hall")
NODE_ADDRESSES = ("caller_url", "operator_address", "peer_address")
RETRIED_STATUSES = (429, 502, 503)
"""Statuses after which a request is retried with its idempotency key. 429 is among them because
calls are fast enough to reach one node's share of the tenant's rate."""


class Cluster:
    """An emulator process and several node processes."""

    def __init__(self, directory):
        self.directory = directory
        physio = str(ROOT / "examples" / "physio.toml")
        names = ("emulator_url", "store_url", "machines_url")
        self.emulator = Foxwinch("emulator", "--configuration", physio, expected=names)
        self.processes = [self.emulator]
        self.urls = self.emulator.wait_until_printed().printed
        text = (ROOT / "examples" / "physio.toml").read_text(encoding="utf-8")
        text = text.replace("http://127.0.0.1:7100", self.urls["emulator_url"])
        hashes = f'key_hashes = ["{hash_key(KEY)}"]\n'
        first = 'name = "ward-discharge"\n'
        text = text.replace(first, first + hashes)
        (directory / "cluster.toml").write_text(text, encoding="utf-8")
        self.nodes = []

    def start(self, count):
        """Start nodes; all but the first join through its address, concurrently."""
        first = self._start(0, ())
        seeds = (first.wait_until_printed().printed["peer_address"],)
        others = [self._start(number, seeds) for number in range(1, count)]
        self.nodes = [first, *(other.wait_until_printed() for other in others)]

    def _start(self, number, seeds):
        path = self.directory / f"node-{number}.toml"
        lines = [
            f'name = "node-{number}"',
            'region = "kerala-south"',
            f'zone = "{ZONES[number % len(ZONES)]}"',
            f'operator_key_hashes = ["{hash_key(KEY)}"]',
            'configuration_file = "cluster.toml"',
            f"seeds = {list(seeds)}",
            "[platform]",
            *(f'{n} = "{self.urls[n]}"' for n in ("store_url", "machines_url")),
        ]
        path.write_text("\n".join(lines), encoding="utf-8")
        node = Foxwinch("node", "--settings", str(path), expected=NODE_ADDRESSES)
        self.processes.append(node)
        return node

    def create(self, node, program):
        """Create a program with an idempotency key."""
        body = {"template": "plan-draft", "name": program}
        retry_until_run(lambda: node.post("/v1/programs", body, KEY, f"create-{program}"), 201)

    def send_turn(self, node, program, text):
        """Send a turn with its own idempotency key, and retry until it succeeds."""
        body = {
            "model": "plan-llm",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 4,
        }
        ends_at = time.monotonic() + TIMEOUT_SECONDS
        while True:
            status, answer = node.post(f"/v1/programs/{program}/calls", body, KEY, text)
            if status == 200:
                return answer["choices"][0]["message"]["content"]
            assert status in RETRIED_STATUSES, answer
            assert time.monotonic() < ends_at, answer
            time.sleep(0.2)

    def history(self, node, program):
        """Return the history of a program as text."""
        return retry_until_run(lambda: node.get(f"/v1/programs/{program}/history", KEY), 200)


def retry_until_run(send, expected):
    """Retry while the node reports that the request did not run; return the response."""
    ends_at = time.monotonic() + TIMEOUT_SECONDS
    while True:
        status, answer = send()
        if status == expected:
            return answer
        assert status == 503, answer
        assert "not_run" in str(answer), answer
        assert time.monotonic() < ends_at, answer
        time.sleep(0.2)


@pytest.fixture
def cluster(tmp_path):
    started = Cluster(tmp_path)
    try:
        yield started
    finally:
        for process in started.processes:
            process.kill_process()


def test_a_program_survives_the_death_of_its_owner(cluster):
    cluster.start(3)
    first = cluster.nodes[0]
    listed = first.query("nodes", "list", key=KEY)["nodes"]
    assert sorted(node["state"] for node in listed) == ["alive"] * 3
    cluster.create(first, "plan")
    answers = [cluster.send_turn(node, "plan", f"turn {i}") for i, node in enumerate(cluster.nodes)]

    program = first.query("programs", "show", "ward-discharge/plan", key=KEY)["program"]
    for call in program["calls"]:
        pattern = rf"waited \d+\.\d\d s for a slot; {call['worker']} had the lowest predicted cost"
        assert re.match(pattern, call["reason"]), call
    assert len(program["calls"]) == 3
    owner = next(n for n in listed if n["node"] == program["summary"]["node"])
    by_address = {node.printed["peer_address"]: node for node in cluster.nodes}
    killed = by_address[owner["address"]]
    killed.process.kill()
    survivors = [node for node in cluster.nodes if node is not killed]
    answers.append(cluster.send_turn(survivors[0], "plan", "after the kill"))
    history = cluster.history(survivors[1], "plan")
    for text in ("turn 0", "turn 1", "turn 2", "after the kill", *answers):
        assert history.count(text) == 1, text


def test_a_graceful_shutdown_interrupts_no_request(cluster):
    cluster.start(3)
    stopping, staying = cluster.nodes[:2]
    cluster.create(staying, "plan")
    answers = []
    with ThreadPoolExecutor(1) as caller:
        turns = [caller.submit(cluster.send_turn, staying, "plan", f"turn {i}") for i in range(20)]
        answers.append(turns[0].result(TIMEOUT_SECONDS))
        stopping.process.send_signal(signal.SIGTERM)
        assert stopping.process.wait(TIMEOUT_SECONDS) == 0
        answers += [turn.result(TIMEOUT_SECONDS) for turn in turns[1:]]
    history = cluster.history(staying, "plan")
    for text in [f"turn {i}" for i in range(20)]:
        assert history.count(f'"{text}"') == 1, text
    assert all(history.count(answer) == 1 for answer in answers)
