"""Shards: placement on nodes, epochs, takeover."""
