"""Who is there and what they say: failure detection (SWIM) and gossip inside a byte budget."""
