"""Cluster membership and gossip between nodes."""
