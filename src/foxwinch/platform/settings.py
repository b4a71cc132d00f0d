"""Settings of a node on the users' platform, as `deploy/settings.toml` has them filled in."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from foxwinch.settings.addresses import IpAddress, IpAndAnyPort, IpAndPort
from foxwinch.settings.base import SettingsError, StrictModel, check, read_toml

ENVIRONMENT_VARIABLE = "FOXWINCH_CONFIG"
"""Holds the path of the settings file."""


class ListenSettings(StrictModel):
    """Where a node listens."""

    callers: IpAndAnyPort
    ready: IpAndAnyPort
    peers: IpAndAnyPort
    """TCP and UDP, for other nodes."""
    metrics: IpAndAnyPort | None = None


class StoreSettings(StrictModel):
    """The platform's store."""

    address: IpAndPort
    row_bytes: Annotated[int, Field(ge=1_024)] = 65_536
    notice_ms: Annotated[float, Field(ge=1_000, le=60_000)] = 3_000
    """A change whose answer was lost must be noticed within it."""
    heartbeat_ms: Annotated[float, Field(gt=0)] = 1_200
    """How often workers write their entries anew."""


class ServeSettings(StrictModel):
    """Everything that a node on the platform is told."""

    name: Annotated[str, Field(min_length=1)]
    ip: IpAddress
    zone: Annotated[str, Field(min_length=1)]
    region: str
    listen: ListenSettings
    store: StoreSettings
    grace_seconds: Annotated[float, Field(gt=0)] = 8.0
    """From the signal to stop until the process is killed."""
    log_level: Annotated[str, Field(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


def load_serve_settings(path: Path) -> ServeSettings | SettingsError:
    """Read and check a settings file."""
    values = read_toml(path)
    if isinstance(values, SettingsError):
        return values
    return check(ServeSettings, values, str(path))
