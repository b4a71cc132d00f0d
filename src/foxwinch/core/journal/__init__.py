"""The replicated journal of a shard: records, commit rule, sealing and recovery."""
