"""Engines and tools: ports and their adapters."""
