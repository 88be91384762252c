#!/bin/sh
# Builds, starts a local fleet, replays a short trace against it and prints the outcome.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh
build/burdockfield-fleet traces/short.jsonl
