"""Stateful property-based fuzzing of a deployment's cluster on virtual time."""
