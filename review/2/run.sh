#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. See claim.txt.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH="$(cd .. && pwd)" exec python3 case.py
