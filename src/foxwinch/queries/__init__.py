"""Queries, which only read state, one module for each."""
