"""Subsystems of a node: one module with one builder for each."""
