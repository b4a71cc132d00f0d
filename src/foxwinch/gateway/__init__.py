"""The caller side: HTTP by aiohttp."""
