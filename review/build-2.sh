#!/bin/sh
# Builds the stand-ins of the cases 4 and later under `target/`, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review2
mkdir -p target/review2
cp review/standins2/*.py target/review2/
python3 -m compileall -q -f --invalidation-mode unchecked-hash target/review2
# The store's stand-in is the project's own, which the build of the deploy file has copied.
PYTHONPATH=target/review2:target/src:target/deps python3 -c "import deployment"
