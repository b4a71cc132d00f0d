"""Parameters of the model of one engine, read from the file beside this module."""

import tomllib
from dataclasses import dataclass
from importlib.resources import files


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """What one engine can do; sources and reasons stand in `engine_parameters.toml`."""

    block_tokens: int
    cache_blocks: int
    maximum_running: int
    step_tokens: int
    step_base_seconds: float
    prefill_token_seconds: float
    decode_sequence_seconds: float
    cache_bytes_per_token: int
    link_bytes_per_second: float
    weight_store_bytes_per_second: float
    model_bytes: float
    adapter_bytes: float
    cache_event_lag_seconds: float
    cache_event_loss: float
    load_lag_seconds: float
    cache_event_history: int

    def transfer_seconds(self, blocks: int) -> float:
        """Return the time that the link takes to carry cache blocks."""
        size = blocks * self.block_tokens * self.cache_bytes_per_token
        return size / self.link_bytes_per_second

    def blocks_of(self, tokens: int) -> int:
        """Return the number of blocks that hold `tokens`, the last one perhaps in part."""
        return -(-tokens // self.block_tokens)


def load_engine_parameters() -> EngineParameters:
    """Read the parameters that are shipped in the package."""
    text = files("foxwinch.emulator").joinpath("engine_parameters.toml").read_text("utf-8")
    return EngineParameters(**tomllib.loads(text))
