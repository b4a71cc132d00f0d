"""One node: its parts wired together as services."""
