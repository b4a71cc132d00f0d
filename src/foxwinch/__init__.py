"""foxwinch: a scheduler for agent programs across many small sites."""
