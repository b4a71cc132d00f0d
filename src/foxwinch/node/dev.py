"""`foxwinch dev`: a node and emulated backends on loopback, in one process."""

import secrets
from collections.abc import Callable

import uvloop
from aiomisc import entrypoint

from foxwinch.emulator.process import EmulatorService
from foxwinch.emulator.settings import settings_of_cluster
from foxwinch.gateway.authentication import hash_key
from foxwinch.node.process import NodeProcess
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings

MAX_ANSWER_TOKENS = 64
KEY_BYTES = 24
EMULATOR_PATHS = {"engine": "workers", "tool": "tools"}
"""Emulator path of a pool's workers, by kind of pool."""


def run_dev(document: ClusterConfiguration, announce: Callable[[dict[str, str]], None]) -> bool:
    """Run until a signal; return False if the drain timed out.

    `announce` receives the addresses and the keys that are generated for this run.
    """
    emulated_services = EmulatorService(settings_of_cluster(document, MAX_ANSWER_TOKENS))
    loop = uvloop.new_event_loop()
    with entrypoint(emulated_services, loop=loop, log_config=False, catch_signals=()):
        caller_key = secrets.token_urlsafe(KEY_BYTES)
        operator_key = secrets.token_urlsafe(KEY_BYTES)
        settings = NodeSettings(
            name="dev",
            region=document.region,
            zone=document.zones[0],
            operator_key_hashes=(hash_key(operator_key),),
            drain_seconds=10.0,
        )
        process = NodeProcess(
            settings,
            _with_emulated_workers(document, emulated_services.url, caller_key),
            standalone=True,
        )
        loop.run_until_complete(process.start())
        try:
            loop.run_until_complete(process.wait_ready())
            keys = {"caller_key": caller_key, "operator_key": operator_key}
            announce({**process.addresses(), **keys})
            is_drained = loop.run_until_complete(process.run())
        finally:
            loop.run_until_complete(process.stop())
    loop.close()
    return is_drained


def _with_emulated_workers(
    document: ClusterConfiguration, base_url: str, caller_key: str
) -> ClusterConfiguration:
    """Point the workers to the emulator and add `caller_key` to the first tenant."""
    paths = {pool.name: EMULATOR_PATHS[pool.kind] for pool in document.pools}
    workers = [
        worker.model_copy(update={"url": f"{base_url}/{paths[worker.pool]}/{worker.name}"})
        for worker in document.workers
    ]
    first, *others = document.tenants
    tenant = first.model_copy(update={"key_hashes": (*first.key_hashes, hash_key(caller_key))})
    return document.model_copy(update={"workers": tuple(workers), "tenants": (tenant, *others)})
