"""Stateful property-based fuzzing of simulated clusters on virtual time; not used in production."""
