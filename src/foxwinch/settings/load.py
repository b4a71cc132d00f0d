"""Loading of settings from TOML files, overridden by command-line flags."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from foxwinch.settings.base import SettingsError, check, read_toml
from foxwinch.settings.cluster import ClusterConfiguration
from foxwinch.settings.process import NodeSettings


def load_node_settings(
    path: Path | None, overrides: Mapping[str, Any]
) -> NodeSettings | SettingsError:
    """Read node settings; `overrides` maps dotted field names to values, or None if not given."""
    values: dict[str, Any] = {}
    if path is not None:
        loaded = read_toml(path)
        if isinstance(loaded, SettingsError):
            return loaded
        values = loaded
    provided = {name: value for name, value in overrides.items() if value is not None}
    for name, value in provided.items():
        _set_nested(values, name.split("."), value)
    source = str(path) if path is not None else "flags"
    if path is not None and provided:
        source = f"{path} with flags"
    return check(NodeSettings, values, source)


def load_cluster_configuration(path: Path) -> ClusterConfiguration | SettingsError:
    """Read and validate a cluster configuration."""
    values = read_toml(path)
    if isinstance(values, SettingsError):
        return values
    return check(ClusterConfiguration, values, str(path))


def load_proposed(
    settings: NodeSettings, settings_path: Path | None
) -> ClusterConfiguration | SettingsError | None:
    """Read the configuration file that the settings refer to, relative to the settings file."""
    if settings.configuration_file is None:
        return None
    directory = settings_path.parent if settings_path is not None else Path()
    return load_cluster_configuration(directory / settings.configuration_file)


def _set_nested(values: dict[str, Any], path: list[str], value: Any) -> None:
    for name in path[:-1]:
        values = values.setdefault(name, {})
    values[path[-1]] = value
