"""Revisions of the cluster configuration and their replication."""
