"""Commands that change state, one module for each."""
