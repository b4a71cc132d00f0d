"""Assembly of a node from its subsystems, and its process."""
