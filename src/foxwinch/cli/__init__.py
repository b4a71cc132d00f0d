"""The command line: one file for each command."""
