#!/bin/sh
# Builds the program of the cases 11 and later, with all stand-ins that they start, into review/harness-3/build/.
set -eu
cd "$(dirname "$0")/harness-3"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. ./*.cpp -o build/cases
