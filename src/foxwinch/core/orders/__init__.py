"""Reconciliation of the models on workers with their goal state."""
