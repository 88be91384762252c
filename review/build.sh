#!/bin/sh
# Builds the stand-ins and the clients of the review into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
compile() { ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$@"; }
for part in wire record store fleet; do
    compile -c -o "build/$part.o" "harness/$part.cpp"
done
compile -o build/runner harness/runner.cpp build/wire.o build/record.o
for case in harness/case_*.cpp; do
    compile -o "build/$(basename "$case" .cpp)" "$case" \
        build/fleet.o build/store.o build/record.o build/wire.o -lboost_json
done
