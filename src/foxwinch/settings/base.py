"""Base class and validation of settings models."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError


class StrictModel(BaseModel):
    """An immutable settings model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Validation errors of settings: one line per field, with its value and the allowed values."""

    source: str
    problems: tuple[str, ...]

    def __str__(self) -> str:
        """Return all problems, one per line."""
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)


Model = TypeVar("Model", bound=BaseModel)


def check(model: type[Model], values: dict[str, Any], source: str) -> Model | SettingsError:
    """Validate plain values against a settings model."""
    try:
        return model.model_validate(values)
    except ValidationError as error:
        return SettingsError(
            source, tuple(_describe_problem(model, item) for item in error.errors())
        )


def read_toml(path: Path) -> dict[str, Any] | SettingsError:
    """Read a TOML file as plain values."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return SettingsError(str(path), (f"cannot be read: {error.strerror}",))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return SettingsError(str(path), (f"is not valid TOML: {error}",))


def _describe_problem(model: type[BaseModel], item: Any) -> str:
    field = ".".join(str(part) for part in item["loc"]) or "(document)"
    if item["type"] == "extra_forbidden":
        allowed = ", ".join(_allowed_fields(model, item["loc"]))
        return f"{field}: unknown field; allowed here: {allowed}"
    if item["type"] == "missing":
        return f"{field}: missing; a value is required"
    return f"{field} = {item.get('input')!r}: {item['msg']}"


def _allowed_fields(model: type[BaseModel], location: tuple[Any, ...]) -> list[str]:
    """Return the field names allowed at a location of the JSON Schema."""
    schema = model.model_json_schema()
    node = schema
    for part in location[:-1]:
        node = _resolve(schema, node)
        node = node.get("items", {}) if isinstance(part, int) else node["properties"].get(part, {})
    return sorted(_resolve(schema, node).get("properties", {}))


def _resolve(schema: dict[str, Any], node: dict[str, Any]) -> dict[str, Any]:
    for alternative in node.get("anyOf", ()):
        if "$ref" in alternative:
            node = alternative
    if "$ref" in node:
        name = node["$ref"].rsplit("/", 1)[1]
        return dict(schema["$defs"][name])
    return node
