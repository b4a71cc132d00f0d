"""Validated types for IP addresses and ports in settings."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field

Port = Annotated[int, Field(ge=0, le=65_535)]
"""A TCP or UDP port; 0 selects a free port, for tests."""
MAX_PORT = 65_535


def _check_ip_address(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("must be an IP number, such as 127.0.0.1") from None
    return value


def _check_ip_and_port(value: str) -> str:
    return _check_address(value, lowest_port=1)


def _check_ip_and_any_port(value: str) -> str:
    return _check_address(value, lowest_port=0)


def _check_address(value: str, lowest_port: int) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not lowest_port <= int(port) <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise ValueError("must be ip:port, such as 127.0.0.1:7003") from None
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip_address)]
"""An IP address; host names are not resolved."""
IpAndPort = Annotated[str, AfterValidator(_check_ip_and_port)]
"""An IP address and a port, such as `127.0.0.1:7003`."""
IpAndAnyPort = Annotated[str, AfterValidator(_check_ip_and_any_port)]
"""A listen address: like `IpAndPort`, but port 0 selects a free port, for tests."""
