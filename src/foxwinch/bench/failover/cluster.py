"""Real nodes beside an emulator process, a fault proxy before each node's peer side."""

import asyncio
import json
import secrets
import signal
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from foxwinch.bench.failover.processes import TestedProcess
from foxwinch.bench.fault_proxy import FaultProxy
from foxwinch.emulator.settings import settings_of_cluster
from foxwinch.gateway.authentication import hash_key
from foxwinch.identifiers import PeerAddress
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings, PlatformSettings

FIRST_HOST = 11
"""Nodes listen on 127.0.0.11 and up, so that a proxy can tell their traffic apart."""
DRAIN_SECONDS = 60.0
READY_POLL_SECONDS = 0.1
READY_SECONDS = 60.0
ANSWER_TOKENS = 16


@dataclass(slots=True)
class TestedNode:
    """One node process and the proxy before its peer side."""

    __test__ = False
    name: str
    host: str
    zone: str
    process: TestedProcess
    proxy: FaultProxy
    paused: bool = False
    cut: bool = False
    stopping: bool = False
    ready: bool = False
    """True once it has said so; callers are sent to ready nodes only."""

    @property
    def caller_url(self) -> str:
        """Base URL for callers."""
        return self.process.printed["caller_url"]

    @property
    def operator_address(self) -> tuple[str, int]:
        """Host and port for operators."""
        host, _, port = self.process.printed["operator_address"].rpartition(":")
        return host, int(port)

    @property
    def is_usable(self) -> bool:
        """True unless a fault makes the node unreachable or silent."""
        up = self.ready and self.process.is_running
        return up and not self.paused and not self.stopping


class FailoverCluster:
    """An emulator and nodes, one to a zone at first; a context that stops them all."""

    def __init__(self, document: ClusterConfiguration, directory: Path) -> None:
        """Keep settings and logs under `directory`."""
        self.caller_key = secrets.token_urlsafe(24)
        self.operator_key = secrets.token_urlsafe(24)
        self.directory = directory
        self.document = document
        self.nodes: list[TestedNode] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._started = 0
        self._emulator: TestedProcess | None = None

    async def __aenter__(self) -> "FailoverCluster":
        """Start everything and wait until every node is ready."""
        try:
            await self._start_emulator()
            for zone in self.document.zones:
                await self.start_node(zone)
            for node in self.nodes:
                await self.wait_ready(node)
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything."""
        await self.close()

    async def close(self) -> None:
        """End every process and proxy."""
        for node in self.nodes:
            await node.process.kill()
            await node.proxy.stop()
        if self._emulator is not None:
            await self._emulator.kill()
        await self.session.close()

    # --- nodes -------------------------------------------------------------------------------

    async def start_node(self, zone: str) -> TestedNode:
        """Start one more node in a zone."""
        self._started += 1
        host = f"127.0.0.{FIRST_HOST + self._started}"
        name = f"node-{self._started}"
        peer_port = _free_port(host)
        proxy = FaultProxy(PeerAddress(host, peer_port), host=host)
        await proxy.start()
        settings = self._node_settings(name, host, zone, peer_port, proxy)
        path = self.directory / f"{name}.json"
        path.write_text(settings.model_dump_json(exclude_none=True), encoding="utf-8")
        process = TestedProcess(
            self._node_arguments(settings, path),
            ("caller_url", "operator_address"),
            self.directory / f"{name}.log",
        )
        node = TestedNode(name, host, zone, process, proxy)
        self.nodes.append(node)
        await process.start()
        return node

    async def wait_ready(self, node: TestedNode) -> None:
        """Wait until a node takes work."""
        async with asyncio.timeout(READY_SECONDS):
            ready = await self._is_ready(node)
            while not ready:
                await asyncio.sleep(READY_POLL_SECONDS)
                ready = await self._is_ready(node)
        node.ready = True

    async def kill(self, node: TestedNode) -> None:
        """End a node without warning."""
        await node.process.kill()
        await node.proxy.stop()

    def pause(self, node: TestedNode) -> None:
        """Stop a node's process for a while."""
        node.paused = True
        node.process.signal(signal.SIGSTOP)

    def resume(self, node: TestedNode) -> None:
        """Let a paused process go on."""
        node.process.signal(signal.SIGCONT)
        node.paused = False

    def cut(self, node: TestedNode) -> None:
        """Cut a node from all others, in both directions."""
        node.cut = True
        node.proxy.set_faults(block_to_target=True, block_to_client=True)
        for other in self.nodes:
            if other is not node:
                other.proxy.block_source(node.host)

    def heal(self, node: TestedNode) -> None:
        """Mend the links of a node."""
        node.cut = False
        node.proxy.heal()
        for other in self.nodes:
            other.proxy.unblock_source(node.host)

    async def replace(self, node: TestedNode) -> int:
        """Start a successor in the node's zone, then stop the node as planned; its exit code."""
        successor = await self.start_node(node.zone)
        await self.wait_ready(successor)
        node.stopping = True
        node.process.signal(signal.SIGTERM)
        code = await node.process.wait()
        await node.proxy.stop()
        return code

    def usable(self) -> list[TestedNode]:
        """Return the nodes that a caller would reach."""
        return [node for node in self.nodes if node.is_usable]

    # --- the emulator ------------------------------------------------------------------------

    async def set_faults(self, faults: dict[str, Any]) -> None:
        """Put faults of the stand-ins in force."""
        async with self.session.post(f"{self.emulator_url}/faults", json=faults) as response:
            response.raise_for_status()

    async def emulator_state(self) -> dict[str, Any]:
        """Return what the stand-ins saw."""
        async with self.session.get(f"{self.emulator_url}/state") as response:
            state: dict[str, Any] = await response.json()
            return state

    @property
    def emulator_url(self) -> str:
        """Base URL of the stand-ins."""
        assert self._emulator is not None
        return self._emulator.printed["emulator_url"]

    async def _start_emulator(self) -> None:
        settings = settings_of_cluster(self.document, ANSWER_TOKENS)
        path = self.directory / "emulator.toml"
        path.write_text(_toml(settings.model_dump(mode="json", exclude_none=True)), "utf-8")
        self._emulator = TestedProcess(
            ("emulator", "--settings", str(path)),
            ("emulator_url", "workers_url", "tools_url", "store_url", "machines_url"),
            self.directory / "emulator.log",
        )
        await self._emulator.start()
        self.document = self._with_addresses(self._emulator.printed)
        self._configuration_path.write_text(
            _toml(self.document.model_dump(mode="json", exclude_none=True)), "utf-8"
        )

    def _with_addresses(self, printed: dict[str, str]) -> ClusterConfiguration:
        """Point the workers at the stand-ins and give the first tenant this run's key."""
        kinds = {pool.name: pool.kind for pool in self.document.pools}
        bases = {"engine": printed["workers_url"], "tool": printed["tools_url"]}
        workers = tuple(
            worker.model_copy(update={"url": f"{bases[kinds[worker.pool]]}/{worker.name}"})
            for worker in self.document.workers
        )
        first, *others = self.document.tenants
        first = first.model_copy(
            update={
                "key_hashes": (hash_key(self.caller_key),),
                "requests_per_second": 1_000.0,
                "tokens_per_second": 1_000_000.0,
            }
        )
        return self.document.model_copy(update={"workers": workers, "tenants": (first, *others)})

    @property
    def _configuration_path(self) -> Path:
        return self.directory / "cluster.toml"

    def _node_settings(
        self, name: str, host: str, zone: str, peer_port: int, proxy: FaultProxy
    ) -> NodeSettings:
        assert self._emulator is not None
        printed = self._emulator.printed
        return NodeSettings(
            name=name,
            region=self.document.region,
            zone=zone,
            host=host,
            peer_port=peer_port,
            peer_advertised=str(proxy.address),
            seeds=tuple(str(node.proxy.address) for node in self.nodes),
            platform=PlatformSettings(
                store_url=printed["store_url"],
                machines_url=printed["machines_url"],
            ),
            operator_key_hashes=(hash_key(self.operator_key),),
            configuration_file=str(self._configuration_path),
            drain_seconds=DRAIN_SECONDS,
        )

    def _node_arguments(self, settings: NodeSettings, path: Path) -> tuple[str, ...]:
        toml = path.with_suffix(".toml")
        toml.write_text(_toml(settings.model_dump(mode="json", exclude_none=True)), "utf-8")
        return ("node", "--settings", str(toml))

    async def _is_ready(self, node: TestedNode) -> bool:
        try:
            async with self.session.get(f"{node.caller_url}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


def _free_port(host: str) -> int:
    with socket.socket() as chosen:
        chosen.bind((host, 0))
        port: int = chosen.getsockname()[1]
        return port


def _toml(values: dict[str, Any]) -> str:
    """Write plain values as TOML: scalars and lists first, then tables."""
    lines: list[str] = []
    _write_table(lines, (), values)
    return "\n".join(lines) + "\n"


def _write_table(lines: list[str], path: tuple[str, ...], values: dict[str, Any]) -> None:
    nested = {name: value for name, value in values.items() if _is_nested(value)}
    for name, value in values.items():
        if name not in nested:
            lines.append(f"{json.dumps(name)} = {json.dumps(value)}")
    for name, value in nested.items():
        inner = (*path, name)
        heading = ".".join(json.dumps(part) for part in inner)
        for table in value if isinstance(value, list) else [value]:
            lines.append(f"[[{heading}]]" if isinstance(value, list) else f"[{heading}]")
            _write_table(lines, inner, table)


def _is_nested(value: Any) -> bool:
    if isinstance(value, dict):
        return True
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)
