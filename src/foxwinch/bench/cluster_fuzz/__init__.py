"""Stateful fuzzing of whole clusters on virtual time; nothing that is deployed imports it."""
