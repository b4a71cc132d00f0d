"""Failure detection and dissemination between nodes."""
