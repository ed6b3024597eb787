#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, which are Python modules that
# need only what deploy/build.sh has installed under target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:packages/standins:packages/core:.:review"
python3 -c 'import lab_two'
