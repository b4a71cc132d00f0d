"""Entry point of `python -m foxwinch`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # SIGHUP means a settings reload; it must not kill a node that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from foxwinch.cli.main import main

main()
