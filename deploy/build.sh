#!/bin/sh
# Install the libraries and packages of a node under target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.ready" ] || [ requirements.txt -nt "$deps/.ready" ]; then
    python3 -m pip install -q -U --target "$deps" -r requirements.txt
    touch "$deps/.ready"
fi
for package in packages/net/celeryshift_net packages/cell/celeryshift_cell \
        packages/cellnode/celeryshift_cellnode \
        platform/celeryshift_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -r "$package" "$deps/"
done
# Compile ahead of time: compilation at startup would delay waiting callers.
python3 -m compileall -q "$deps" || true
