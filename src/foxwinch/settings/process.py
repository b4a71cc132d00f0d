"""Models of the process settings of a node."""

from typing import Annotated

from pydantic import Field

from foxwinch.settings.addresses import IpAddress, IpAndPort, Port
from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import KeyHash, Name


class TlsSettings(StrictModel):
    """Certificate files in PEM format."""

    certificate_file: str
    key_file: str
    authority_file: str | None = None
    """Authority that must have signed the other side's certificate; required for peers."""


class CallerLimits(StrictModel):
    """Limits on callers' requests."""

    body_bytes: Annotated[int, Field(ge=1_024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, Field(ge=1_024)] = 16 * 1024
    history_bytes: Annotated[int, Field(ge=1_024)] = 4 * 1024 * 1024
    read_seconds: Annotated[float, Field(gt=0)] = 15.0
    """Timeout for receiving a complete request."""
    connections: Annotated[int, Field(ge=1)] = 4_096


class PlatformSettings(StrictModel):
    """Base URLs of the platform's services."""

    store_url: str | None = None
    machines_url: str | None = None
    store_requests_per_second: Annotated[float, Field(gt=0)] = 200.0
    """This node's share of the store's rate; excess requests wait or get a retry time."""


class NodeSettings(StrictModel):
    """Settings of a node process."""

    name: Name
    region: Name
    zone: Name
    host: IpAddress = "127.0.0.1"
    caller_port: Port = 0
    operator_port: Port = 0
    peer_port: Port = 0
    peer_advertised: IpAndPort | None = None
    """Address under which other nodes reach the peer endpoint, if not `host:peer_port`."""
    seeds: tuple[IpAndPort, ...] = ()
    """Addresses `ip:port` of nodes to contact when joining the cluster; they may be stale."""
    platform: PlatformSettings = PlatformSettings()
    caller_limits: CallerLimits = CallerLimits()
    caller_tls: TlsSettings | None = None
    operator_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
    operator_key_hashes: tuple[KeyHash, ...] = ()
    configuration_file: str | None = None
    """Path of the cluster configuration to propose if the store has none yet."""
    drain_seconds: Annotated[float, Field(gt=0)] = 60.0
    log_level: Annotated[str, Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
