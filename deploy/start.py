"""Starts foxwinch from the copy of its sources and the packages that the build made."""

import sys
from pathlib import Path

# The build compiles its copy: to compile the sources at each start costs processor time.
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "target" / "src"))

from foxwinch.platform.start import main

main()
