"""`python -m foxwinch`."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # A hangup tells a node of new settings; it must not end one that has not started to listen.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from foxwinch.cli.main import main

main()
