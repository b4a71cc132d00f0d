"""Settings files of the processes in the overhead bench."""

from dataclasses import dataclass
from pathlib import Path

from foxwinch.gateway.authentication import hash_key

MODEL = "bench-chat"
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
"""Engines of the single emulator process; a node cannot saturate them at 8 calls each."""
UNFENCED_ENGINES = ("open-1", "open-2", "open-3", "open-4")
"""Engines for clients without an epoch, which the engines of the node would reject."""
ZONES = ("zone-1", "zone-2", "zone-3")
"""Zones with one node each."""
CALLER_KEY = "key-of-the-overhead-bench"
EMULATOR_SETTINGS = """\
pace = "instant"
maximum_answer_tokens = 1000
"""
ENGINE_TEMPLATE = """
[[engines]]
name = "{name}"
models = ["{model}"]
"""
NODE_TEMPLATE = """\
name = "{name}"
region = "bench"
zone = "{zone}"
"""
CONFIGURATION_TEMPLATE = """\
deployment = "bench"
region = "bench"
zones = ["zone-1", "zone-2", "zone-3"]
default_template = "one-call"

[[tenants]]
name = "bench"
key_hashes = ["{key_hash}"]
requests_per_second = 1000000.0
tokens_per_second = 1000000000.0

[[classes]]
name = "bench"
rank = 1
deadline_seconds = 60.0

[[models]]
name = "{model}"

[[pools]]
name = "engines"
kind = "engine"
models = ["{model}"]

[[templates]]
name = "one-call"
class_name = "bench"
models = ["{model}"]
"""
WORKER_TEMPLATE = """
[[workers]]
name = "{name}"
pool = "engines"
zone = "zone-1"
url = "{url}"
"""


@dataclass(frozen=True, slots=True)
class SettingsFiles:
    """Paths of the settings files."""

    directory: Path
    emulator: Path
    nodes: tuple[Path, ...]

    def write_configuration(self, worker_urls: list[str]) -> Path:
        """Write the cluster configuration with the given worker URLs and return its path."""
        path = self.directory / "configuration.toml"
        text = CONFIGURATION_TEMPLATE.format(key_hash=hash_key(CALLER_KEY), model=MODEL)
        named = zip(ENGINES, worker_urls, strict=True)
        text += "".join(WORKER_TEMPLATE.format(name=name, url=url) for name, url in named)
        path.write_text(text, encoding="utf-8")
        return path


def write_settings(directory: Path) -> SettingsFiles:
    """Write the settings that do not depend on the URLs of running processes."""
    emulator = directory / "emulator.toml"
    engines = "".join(
        ENGINE_TEMPLATE.format(name=name, model=MODEL) for name in ENGINES + UNFENCED_ENGINES
    )
    emulator.write_text(EMULATOR_SETTINGS + engines, encoding="utf-8")
    nodes = tuple(directory / f"node-{zone}.toml" for zone in ZONES)
    for zone, path in zip(ZONES, nodes, strict=True):
        path.write_text(NODE_TEMPLATE.format(name=f"node-{zone}", zone=zone), encoding="utf-8")
    return SettingsFiles(directory, emulator, nodes)
