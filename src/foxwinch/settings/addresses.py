"""Addresses in settings: IP numbers and ports, checked."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, Field

Port = Annotated[int, Field(ge=0, le=65_535)]
"""A TCP or UDP port; 0 lets the system choose, for tests."""
MAX_PORT = 65_535


def _is_ip_number(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("must be an IP number, such as 127.0.0.1") from None
    return value


def _is_ip_and_port(value: str) -> str:
    return _checked_address(value, lowest_port=1)


def _is_ip_and_any_port(value: str) -> str:
    return _checked_address(value, lowest_port=0)


def _checked_address(value: str, lowest_port: int) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not lowest_port <= int(port) <= MAX_PORT:
            raise ValueError
    except ValueError:
        raise ValueError("must be ip:port, such as 127.0.0.1:7003") from None
    return value


IpAddress = Annotated[str, AfterValidator(_is_ip_number)]
"""An IP number; names are not resolved."""
IpAndPort = Annotated[str, AfterValidator(_is_ip_and_port)]
"""An IP number and a port, such as `127.0.0.1:7003`."""
IpAndAnyPort = Annotated[str, AfterValidator(_is_ip_and_any_port)]
"""Where to listen: as `IpAndPort`, and port 0 lets the system choose, for tests."""
