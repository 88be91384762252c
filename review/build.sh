#!/bin/sh
# Builds the stand-ins and the clients of the review into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
compiler="${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread"
for part in wire record store fleet; do
    $compiler -c -o "build/$part.o" "harness/$part.cpp" &
done
wait
$compiler -o build/runner harness/runner.cpp build/wire.o build/record.o -lboost_json &
for case in harness/case_*.cpp; do
    name=$(basename "$case" .cpp)
    $compiler -o "build/$name" "$case" build/fleet.o build/store.o build/record.o build/wire.o -lboost_json &
done
wait
