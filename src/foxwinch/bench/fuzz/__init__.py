"""Stateful fuzzing of whole clusters on virtual time against a simple oracle."""
