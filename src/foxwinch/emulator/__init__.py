"""Emulated engines, tools and platform services, over HTTP or on virtual time."""
