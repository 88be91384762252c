#!/bin/sh
# Installs what is missing and builds into build/.
set -eu
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh >build-dependencies.log 2>&1 || { cat build-dependencies.log; exit 1; }
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
