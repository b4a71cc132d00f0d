"""Process settings of one node: addresses, zone, platform, limits; a file and flags over it."""

from typing import Annotated

from pydantic import Field

from foxwinch.settings.addresses import IpAddress, IpAndPort, Port
from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import KeyHash, Name


class TlsSettings(StrictModel):
    """Certificate files in PEM."""

    certificate_file: str
    key_file: str
    authority_file: str | None = None
    """Authority that peers' certificates must be signed by (mutual TLS), where it is asked for."""


class CallerLimits(StrictModel):
    """Bounds on what one caller's request may cost a node."""

    body_bytes: Annotated[int, Field(ge=1_024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, Field(ge=1_024)] = 16 * 1024
    history_bytes: Annotated[int, Field(ge=1_024)] = 4 * 1024 * 1024
    read_seconds: Annotated[float, Field(gt=0)] = 15.0
    """For a whole request to arrive."""
    connections: Annotated[int, Field(ge=1)] = 4_096


class PlatformSettings(StrictModel):
    """Base URLs of the platform's services."""

    store_url: str | None = None
    machines_url: str | None = None
    store_requests_per_second: Annotated[float, Field(gt=0)] = 200.0
    """This node's share of the store's rate; more requests wait, or are refused with a time."""


class NodeSettings(StrictModel):
    """Everything that one node process is told at its start."""

    name: Name
    region: Name
    zone: Name
    host: IpAddress = "127.0.0.1"
    caller_port: Port = 0
    operator_port: Port = 0
    peer_port: Port = 0
    peer_advertised: IpAndPort | None = None
    """Where other nodes reach the peer side, if that is not `host:peer_port`."""
    seeds: tuple[IpAndPort, ...] = ()
    """Peer addresses `ip:port` to join by; hints only."""
    platform: PlatformSettings = PlatformSettings()
    caller_limits: CallerLimits = CallerLimits()
    caller_tls: TlsSettings | None = None
    operator_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
    operator_key_hashes: tuple[KeyHash, ...] = ()
    configuration_file: str | None = None
    """Cluster configuration to propose when the store holds none yet."""
    drain_seconds: Annotated[float, Field(gt=0)] = 60.0
    log_level: Annotated[str, Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
