#!/usr/bin/env bash
# Builds the stand-ins of the review cases; they need only CPython 3.11 and its standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins
