"""Command-line interface, one module per command."""
