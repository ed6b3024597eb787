#!/bin/sh
# Builds the stand-ins: they are Python files and are only compiled, as a check.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
import aiohttp
END
