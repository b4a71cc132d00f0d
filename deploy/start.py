"""Starts foxwinch from the copy of its sources and the packages that the build made."""

import os
import signal
import sys
from pathlib import Path


def start() -> None:
    """Prepare the process, then run the node."""
    # A hangup tells a node of new settings; it must not end one that has not started to listen.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # A node here speaks no TLS, and aiohttp reads all certificate authorities when it is imported.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # The build compiles its copy: to compile the sources at each start costs processor time.
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "target" / "src"))

    from foxwinch.platform.start import main

    main()


start()
