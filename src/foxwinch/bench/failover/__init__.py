"""Failover: programs under load on real node processes, faults, and what became of every call."""
