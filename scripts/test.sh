#!/bin/sh
# Builds and runs every test; the decisions and codecs a second time under the sanitizers; the I/O too, without checks
# of the stack, since they can't follow coroutines. Cases of KNOWN-RED.txt are left out.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh
BURDOCKFIELD_KNOWN_RED=$(sed -n 's/^case: //p' KNOWN-RED.txt | paste -s -d, -)
export BURDOCKFIELD_KNOWN_RED
ctest --test-dir build --output-on-failure
cmake -S . -B build-sanitize -G Ninja -DBURDOCKFIELD_SANITIZE=ON >/dev/null
cmake --build build-sanitize --target decision-test schedule-test
RC_PARAMS="seed=20261204 max_success=600" ctest --test-dir build-sanitize --output-on-failure -R '^(decision|schedule)$'
cmake -S . -B build-sanitize-io -G Ninja -DBURDOCKFIELD_SANITIZE=ON -DBURDOCKFIELD_SANITIZE_STACK=OFF >/dev/null
cmake --build build-sanitize-io --target io-test
ctest --test-dir build-sanitize-io --output-on-failure -R '^io$'
