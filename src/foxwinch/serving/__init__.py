"""Serves callers' requests: route, budget, history, worker, answer."""
