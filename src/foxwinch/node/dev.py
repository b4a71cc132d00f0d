"""`foxwinch dev`: a node and the embedded stand-ins on loopback, in one process."""

import secrets
from pathlib import Path

import aiohttp
from aiomisc import entrypoint

from foxwinch.emulator.engine_http import build_engine_application
from foxwinch.gateway.authentication import hash_key
from foxwinch.node.http_service import HttpService
from foxwinch.node.node import build_single_node
from foxwinch.settings.base import SettingsError, check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration

TOKEN_SECONDS = 0.005


def run_dev(configuration_file: Path) -> SettingsError | None:
    """Run until interrupted; returns an error when the configuration is refused."""
    values = read_toml(configuration_file)
    if isinstance(values, SettingsError):
        return values
    document = check(ClusterConfiguration, values, str(configuration_file))
    if isinstance(document, SettingsError):
        return document
    engines = HttpService(build_engine_application(TOKEN_SECONDS))
    with entrypoint(engines, log_config=False) as loop:
        session = loop.run_until_complete(_new_session())
        caller_key = secrets.token_urlsafe(24)
        base_url = f"http://127.0.0.1:{engines.bound_port}/workers"
        node = build_single_node(_for_dev(document, base_url, caller_key), session)
        gateway = HttpService(node.caller_application())
        loop.run_until_complete(gateway.start())
        print(f"caller_url=http://127.0.0.1:{gateway.bound_port}")
        print(f"caller_key={caller_key}", flush=True)
        try:
            loop.run_forever()
        except KeyboardInterrupt:
            pass
        finally:
            loop.run_until_complete(gateway.stop())
            loop.run_until_complete(session.close())
    return None


async def _new_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(
        connector=connector, timeout=aiohttp.ClientTimeout(total=None, sock_connect=3.0)
    )


def _for_dev(
    document: ClusterConfiguration, base_url: str, caller_key: str
) -> ClusterConfiguration:
    """Point the workers at the stand-ins and give the first tenant a key made for this run."""
    workers = [w.model_copy(update={"url": f"{base_url}/{w.name}"}) for w in document.workers]
    first, *others = document.tenants
    tenant = first.model_copy(update={"key_hashes": (*first.key_hashes, hash_key(caller_key))})
    return document.model_copy(update={"workers": tuple(workers), "tenants": (tenant, *others)})
