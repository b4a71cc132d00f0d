"""Who is there, and gossip between nodes."""
