"""`foxwinch dev`: a node and the embedded stand-ins on loopback, in one process."""

import secrets
from collections.abc import Callable

import uvloop
from aiomisc import entrypoint

from foxwinch.emulator.engine_http import build_engine_application
from foxwinch.gateway.authentication import hash_key
from foxwinch.node.http_service import HttpService
from foxwinch.node.process import NodeProcess
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings

TOKEN_SECONDS = 0.005
KEY_BYTES = 24


def run_dev(document: ClusterConfiguration, announce: Callable[[dict[str, str]], None]) -> bool:
    """Run until a signal; `announce` gets the addresses and the keys made for this run."""
    stand_ins = HttpService(build_engine_application(TOKEN_SECONDS))
    loop = uvloop.new_event_loop()
    with entrypoint(stand_ins, loop=loop, log_config=False, catch_signals=()):
        caller_key = secrets.token_urlsafe(KEY_BYTES)
        operator_key = secrets.token_urlsafe(KEY_BYTES)
        base_url = f"http://127.0.0.1:{stand_ins.bound_port}/workers"
        settings = NodeSettings(
            name="dev",
            region=document.region,
            zone=document.zones[0],
            operator_key_hashes=(hash_key(operator_key),),
            drain_seconds=10.0,
        )
        process = NodeProcess(settings, _for_dev(document, base_url, caller_key), alone=True)
        loop.run_until_complete(process.start())
        try:
            loop.run_until_complete(process.wait_ready())
            keys = {"caller_key": caller_key, "operator_key": operator_key}
            announce({**process.addresses(), **keys})
            whole = loop.run_until_complete(process.run())
        finally:
            loop.run_until_complete(process.stop())
    loop.close()
    return whole


def _for_dev(
    document: ClusterConfiguration, base_url: str, caller_key: str
) -> ClusterConfiguration:
    """Point the workers at the stand-ins and give the first tenant a key made for this run."""
    workers = [w.model_copy(update={"url": f"{base_url}/{w.name}"}) for w in document.workers]
    first, *others = document.tenants
    tenant = first.model_copy(update={"key_hashes": (*first.key_hashes, hash_key(caller_key))})
    return document.model_copy(update={"workers": tuple(workers), "tenants": (tenant, *others)})
