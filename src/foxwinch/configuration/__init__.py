"""The cluster configuration at one node: stored, spread and changed."""
