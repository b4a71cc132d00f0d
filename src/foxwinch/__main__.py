"""`python -m foxwinch`."""

from foxwinch.cli.main import main

main()
