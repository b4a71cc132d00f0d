"""HTTP API for callers, based on aiohttp."""
