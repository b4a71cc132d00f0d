"""A fleet of nodes in one process on virtual time, around the real decision code."""
