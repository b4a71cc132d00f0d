"""A cluster of node processes and an emulator, with a fault proxy before each peer endpoint."""

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

BASE_HOST_NUMBER = 11
"""Nodes listen on addresses above 127.0.0.11, so that proxies can block traffic by source."""
DRAIN_SECONDS = 60.0
READY_POLL_SECONDS = 0.1
READY_TIMEOUT_SECONDS = 60.0
ANSWER_TOKENS = 16


@dataclass(slots=True)
class TestedNode:
    """A node process and the proxy before its peer endpoint."""

    __test__ = False
    name: str
    host: str
    zone: str
    process: TestedProcess
    proxy: FaultProxy
    paused: bool = False
    isolated: bool = False
    stopping: bool = False
    ready: bool = False
    """True once the node has reported ready; callers use only ready nodes."""

    @property
    def caller_url(self) -> str:
        """Base URL of the public API."""
        return self.process.printed["caller_url"]

    @property
    def operator_address(self) -> tuple[str, int]:
        """Host and port of the operator API."""
        host, _, port = self.process.printed["operator_address"].rpartition(":")
        return host, int(port)

    @property
    def is_usable(self) -> bool:
        """True if callers can reach the node, which may be isolated from its peers."""
        up = self.ready and self.process.is_running
        return up and not self.paused and not self.stopping


class FailoverCluster:
    """Context manager of an emulator and nodes, initially one node per zone."""

    def __init__(self, document: ClusterConfiguration, directory: Path) -> None:
        """Prepare the cluster; settings and logs are written to `directory`."""
        self.caller_key = secrets.token_urlsafe(24)
        self.operator_key = secrets.token_urlsafe(24)
        self.directory = directory
        self.document = document
        self.nodes: list[TestedNode] = []
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._started_count = 0
        self._emulator: TestedProcess | None = None

    async def __aenter__(self) -> "FailoverCluster":
        """Start the emulator and the nodes, and wait until every node is ready."""
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
        """Stop all processes and proxies."""
        await self.close()

    async def close(self) -> None:
        """Kill every process, stop every proxy and close the HTTP session."""
        for node in self.nodes:
            await node.process.kill()
            await node.proxy.stop()
        if self._emulator is not None:
            await self._emulator.kill()
        await self.session.close()

    # --- nodes -------------------------------------------------------------------------------

    async def start_node(self, zone: str) -> TestedNode:
        """Start one more node in `zone`."""
        self._started_count += 1
        host = f"127.0.0.{BASE_HOST_NUMBER + self._started_count}"
        name = f"node-{self._started_count}"
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
        """Wait until a node reports ready."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            ready = await self._is_ready(node)
            while not ready:
                await asyncio.sleep(READY_POLL_SECONDS)
                ready = await self._is_ready(node)
        node.ready = True

    async def kill(self, node: TestedNode) -> None:
        """Kill a node without draining it."""
        await node.process.kill()
        await node.proxy.stop()

    def pause(self, node: TestedNode) -> None:
        """Pause a node's process."""
        node.paused = True
        node.process.signal(signal.SIGSTOP)

    def resume(self, node: TestedNode) -> None:
        """Resume a paused process."""
        node.process.signal(signal.SIGCONT)
        node.paused = False

    def isolate(self, node: TestedNode) -> None:
        """Isolate a node from all other nodes, in both directions."""
        node.isolated = True
        node.proxy.set_faults(block_to_target=True, block_to_client=True)
        for other in self.nodes:
            if other is not node:
                other.proxy.block_source(node.host)

    def heal(self, node: TestedNode) -> None:
        """Restore the links of an isolated node."""
        node.isolated = False
        node.proxy.heal()
        for other in self.nodes:
            other.proxy.unblock_source(node.host)

    async def replace(self, node: TestedNode) -> int:
        """Start a successor in the node's zone, then drain the node; return its exit code."""
        successor = await self.start_node(node.zone)
        await self.wait_ready(successor)
        node.stopping = True
        node.process.signal(signal.SIGTERM)
        code = await node.process.wait()
        await node.proxy.stop()
        return code

    def usable(self) -> list[TestedNode]:
        """Return the nodes that callers can reach."""
        return [node for node in self.nodes if node.is_usable]

    # --- the emulator ------------------------------------------------------------------------

    async def set_faults(self, faults: dict[str, Any]) -> None:
        """Activate faults of the emulated services."""
        async with self.session.post(f"{self.emulator_url}/faults", json=faults) as response:
            response.raise_for_status()

    async def emulator_state(self) -> dict[str, Any]:
        """Return the state of the emulated services."""
        async with self.session.get(f"{self.emulator_url}/state") as response:
            state: dict[str, Any] = await response.json()
            return state

    @property
    def emulator_url(self) -> str:
        """Base URL of the emulator."""
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
        """Set the workers' URLs to the emulator, and the key and limits of the first tenant."""
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
    """Encode plain values as TOML, with scalars and lists before tables."""
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
