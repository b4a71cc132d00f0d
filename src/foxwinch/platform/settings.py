"""Settings of a node on the platform; `deploy/settings.toml` is the template of the file."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from foxwinch.settings.addresses import IpAddress, IpAndAnyPort, IpAndPort
from foxwinch.settings.base import SettingsError, StrictModel, check, read_toml

ENVIRONMENT_VARIABLE = "FOXWINCH_CONFIG"
"""Environment variable with the path of the settings file."""


class ListenSettings(StrictModel):
    """Listen addresses of a node."""

    callers: IpAndAnyPort
    ready: IpAndAnyPort
    peers: IpAndAnyPort
    """Address for other nodes, TCP and UDP."""
    metrics: IpAndAnyPort | None = None


class StoreSettings(StrictModel):
    """Connection to the platform's store."""

    address: IpAndPort
    row_bytes: Annotated[int, Field(ge=1_024)] = 65_536
    notice_ms: Annotated[float, Field(ge=1_000, le=60_000)] = 3_000
    """Time within which a node must notice a change after losing the response to a watch call."""
    heartbeat_ms: Annotated[float, Field(gt=0)] = 1_200
    """Interval at which workers rewrite their entries."""


class ServeSettings(StrictModel):
    """Settings file of a node on the platform."""

    name: Annotated[str, Field(min_length=1)]
    ip: IpAddress
    zone: Annotated[str, Field(min_length=1)]
    region: str
    listen: ListenSettings
    store: StoreSettings
    grace_seconds: Annotated[float, Field(gt=0)] = 8.0
    """Time between the stop signal and the kill of the process."""
    log_level: Annotated[str, Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def load_serve_settings(path: Path) -> ServeSettings | SettingsError:
    """Read and validate a settings file."""
    values = read_toml(path)
    if isinstance(values, SettingsError):
        return values
    return check(ServeSettings, values, str(path))
