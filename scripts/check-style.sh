#!/bin/sh
# Checks format and lint of the whole tree; build/ must have been configured.
set -eu
cd "$(dirname "$0")/.."
sources=$(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror $sources
echo "format: clean"
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2>clang-tidy.log || {
    cat clang-tidy.log
    exit 1
}
echo "lint: clean"
if git grep -nE '\bvirtual\b' -- src; then
    echo "virtual functions are not used in src"
    exit 1
fi
if git grep -ln 'glog' -- src tests bench traces | grep -v '^src/log'; then
    echo "glog stays inside the log module"
    exit 1
fi
