"""Compare a proposed cluster configuration with the active one."""

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from foxwinch.configuration.ports import ConfigurationSnapshot
from foxwinch.settings.base import SettingsError, check
from foxwinch.settings.cluster import ClusterConfiguration


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between a proposed document and the active one."""

    path: str
    in_force: str | None
    """The value as JSON, or None if it is absent."""
    proposed: str | None


def parse_document(text: str) -> ClusterConfiguration | SettingsError:
    """Parse and validate a document given as JSON."""
    source = "configuration"
    try:
        values = json.loads(text)
    except ValueError as error:
        return SettingsError(source, (f"is not valid JSON: {error}",))
    if not isinstance(values, dict):
        return SettingsError(source, ("must be an object of fields",))
    return check(ClusterConfiguration, values, source)


def differences(
    snapshot: ConfigurationSnapshot, proposed: ClusterConfiguration
) -> Sequence[Difference]:
    """Compare a proposed document with the active one; list entries are matched by name."""
    old = dict(_leaf_values("", snapshot.document.model_dump(mode="json")))
    new = dict(_leaf_values("", proposed.model_dump(mode="json")))
    paths = sorted(path for path in old.keys() | new.keys() if old.get(path) != new.get(path))
    return [Difference(path, old.get(path), new.get(path)) for path in paths]


def _leaf_values(path: str, value: Any) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _leaf_values(f"{path}.{name}" if path else name, item)
    elif _is_list_of_named(value):
        for item in value:
            yield from _leaf_values(f"{path}.{item['name']}", item)
    else:
        yield path, json.dumps(value, sort_keys=True)


def _is_list_of_named(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, dict) and "name" in item for item in value)
    )
