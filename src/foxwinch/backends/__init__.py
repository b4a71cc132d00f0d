"""Ports to model engines and tools, and their adapters."""
