"""Clients of the emulated table store and machine list."""
