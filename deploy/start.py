"""Starts foxwinch from the repository's sources, with the packages that the build installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from foxwinch.platform.start import main

main()
