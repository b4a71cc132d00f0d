"""What changes state: one module for each command."""
