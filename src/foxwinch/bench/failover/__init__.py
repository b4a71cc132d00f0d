"""Failover benchmark: load on real node processes, injected faults, and the outcome of calls."""
