"""Parameters of the engine model, read from `engine_parameters.toml`."""

import tomllib
from dataclasses import dataclass
from importlib.resources import files


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Capacity and speed of one engine; `engine_parameters.toml` gives the source of each value."""

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
        """Return the time that the link takes to transfer cache blocks."""
        size = blocks * self.block_tokens * self.cache_bytes_per_token
        return size / self.link_bytes_per_second

    def blocks_of(self, tokens: int) -> int:
        """Return the number of blocks that hold `tokens`, counting a partial last block."""
        return -(-tokens // self.block_tokens)


def load_engine_parameters() -> EngineParameters:
    """Return the parameters that ship with the package."""
    text = files("foxwinch.emulator").joinpath("engine_parameters.toml").read_text("utf-8")
    return EngineParameters(**tomllib.loads(text))
