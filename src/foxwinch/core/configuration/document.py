"""A configuration document as a set of small entries, so that a change can be sent as a delta.

An entry is one item of a section, such as a tenant or a worker, or one scalar field of the
document, as canonical JSON. Sections are unordered; documents are rebuilt sorted by item name.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from pydantic import ValidationError

from foxwinch.settings.base import StrictModel
from foxwinch.settings.cluster import (
    ClassSettings,
    ClusterConfiguration,
    ModelSettings,
    PoolSettings,
    TemplateSettings,
    TenantSettings,
    ToolSettings,
    WorkerSettings,
)

SECTIONS: Mapping[str, type[StrictModel]] = {
    "tenants": TenantSettings,
    "classes": ClassSettings,
    "models": ModelSettings,
    "pools": PoolSettings,
    "workers": WorkerSettings,
    "tools": ToolSettings,
    "templates": TemplateSettings,
}
FIELD_SECTION = "document"
"""Section of the entries that hold one scalar field of the document each."""
DIGEST_BITS = 128


@dataclass(frozen=True, slots=True)
class Delta:
    """Entries to insert or replace, and keys to delete."""

    puts: Mapping[str, str]
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A document that this version of the software cannot parse or validate."""

    problem: str


@dataclass(frozen=True, slots=True)
class DocumentState:
    """A validated document with its entries and their digest."""

    entries: Mapping[str, str]
    digest: int
    document: ClusterConfiguration

    def apply(self, delta: Delta) -> "DocumentState | InvalidDocument":
        """Return the state after a delta; only changed entries are parsed."""
        entries = dict(self.entries)
        digest = self.digest
        for key in (*delta.deletes, *delta.puts):
            if key in entries:
                digest -= _entry_digest(key, entries.pop(key))
        for key, text in delta.puts.items():
            entries[key] = text
            digest += _entry_digest(key, text)
        digest %= 1 << DIGEST_BITS
        changed = [*delta.deletes, *delta.puts]
        if any(key.split("/", 1)[0] == FIELD_SECTION for key in changed):
            document = _parse(entries)
        else:
            document = _apply_to_sections(self.document, delta)
        if isinstance(document, InvalidDocument):
            return document
        return DocumentState(entries, digest, document)


def split_entries(document: ClusterConfiguration) -> dict[str, str]:
    """Return the entries of a document."""
    entries: dict[str, str] = {}
    for field, value in document.model_dump(mode="json").items():
        if field in SECTIONS:
            entries.update({f"{field}/{item['name']}": _canonical(item) for item in value})
        else:
            entries[f"{FIELD_SECTION}/{field}"] = _canonical(value)
    return entries


def build_document_state(entries: Mapping[str, str]) -> DocumentState | InvalidDocument:
    """Build and validate a full document from its entries."""
    document = _parse(entries)
    if isinstance(document, InvalidDocument):
        return document
    digest = sum(_entry_digest(key, text) for key, text in entries.items())
    return DocumentState(dict(entries), digest % (1 << DIGEST_BITS), document)


def compute_delta(old: Mapping[str, str], new: Mapping[str, str]) -> Delta:
    """Return the delta that turns `old` into `new`."""
    puts = {key: text for key, text in new.items() if old.get(key) != text}
    return Delta(puts, tuple(sorted(key for key in old if key not in new)))


def _canonical(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _entry_digest(key: str, text: str) -> int:
    """Return the digest of one entry; a document's digest is the sum, which allows deltas."""
    return xxhash.xxh3_128_intdigest(f"{key}\0{text}".encode())


def _parse(entries: Mapping[str, str]) -> ClusterConfiguration | InvalidDocument:
    values: dict[str, Any] = {section: [] for section in SECTIONS}
    try:
        for key in sorted(entries):
            section, name = key.split("/", 1)
            if section == FIELD_SECTION:
                values[name] = json.loads(entries[key])
            elif section in SECTIONS:
                values[section].append(json.loads(entries[key]))
    except ValueError as error:
        return InvalidDocument(str(error))
    document: ClusterConfiguration | InvalidDocument = _validate(ClusterConfiguration, values)
    return document


def _apply_to_sections(
    document: ClusterConfiguration, delta: Delta
) -> ClusterConfiguration | InvalidDocument:
    """Apply a delta to sections; references were validated when the change was accepted."""
    update: dict[str, tuple[Any, ...]] = {}
    for section in sorted(_changed_sections(delta)):
        items = {item.name: item for item in getattr(document, section)}
        for key in delta.deletes:
            if key.startswith(f"{section}/"):
                items.pop(key.split("/", 1)[1], None)
        for key, text in delta.puts.items():
            if key.startswith(f"{section}/"):
                item = _parse_item(SECTIONS[section], text)
                if isinstance(item, InvalidDocument):
                    return item
                items[key.split("/", 1)[1]] = item
        update[section] = tuple(items[name] for name in sorted(items))
    return document.model_copy(update=update)


def _changed_sections(delta: Delta) -> Iterable[str]:
    names = {key.split("/", 1)[0] for key in (*delta.deletes, *delta.puts)}
    return names & SECTIONS.keys()


def _parse_item(model: type[StrictModel], text: str) -> Any:
    try:
        values = json.loads(text)
    except ValueError as error:
        return InvalidDocument(str(error))
    return _validate(model, values)


def _validate(model: type[StrictModel], values: Any) -> Any:
    """Validate values, ignoring unknown fields, which a newer software version may have added."""
    try:
        return model.model_validate(values)
    except ValidationError as error:
        unknown = [e["loc"] for e in error.errors() if e["type"] == "extra_forbidden"]
        if not unknown:
            return InvalidDocument(str(error))
    for location in unknown:
        _delete_at(values, location)
    try:
        return model.model_validate(values)
    except ValidationError as error:
        return InvalidDocument(str(error))


def _delete_at(values: Any, location: tuple[Any, ...]) -> None:
    for part in location[:-1]:
        values = values[part]
    del values[location[-1]]
