"""Simulate a fleet of nodes in one process and virtual time with the production decision code."""
