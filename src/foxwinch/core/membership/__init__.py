"""SWIM failure detection and gossip within a byte budget."""
