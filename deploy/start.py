"""Starts foxwinch from the sources and packages that the build step copied to `target`."""

import os
import signal
import sys
from pathlib import Path


def start() -> None:
    """Prepare the process and run the node."""
    # SIGHUP means a settings reload; it must not kill a node that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # This node uses no TLS, and aiohttp loads all certificate authorities at import.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    # The copy is compiled at build time, which saves CPU time at each start.
    sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "target" / "src"))

    from foxwinch.platform.start import main

    main()


start()
