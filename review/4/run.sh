#!/bin/sh
# Writes to record.txt in this folder what was sent, answered and run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$here/case.py" "$here/record.txt"
