"""Adapters between the hosting platform and foxwinch: HTTP, store, settings and names."""
