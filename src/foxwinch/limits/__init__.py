"""Limits of tenants and classes, leased between nodes."""
