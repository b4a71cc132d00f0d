"""Storage, replication and changes of the cluster configuration at one node."""
