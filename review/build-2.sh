#!/bin/sh
# Builds the stand-ins of the cases of the second review into review/build-2/.
set -eu
cd "$(dirname "$0")"
mkdir -p build-2
for number in 6 7 8 9 10; do
    case="$number/case.cpp"
    [ -f "$case" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-2/case-$number" "$case"
done
