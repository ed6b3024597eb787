#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start: the nodes, and the
# stand-ins of `review/lab_three.py`, which need the same libraries.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:review" \
    python3 -c 'import lab_three'
