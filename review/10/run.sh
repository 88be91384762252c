#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/build-2/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/burdockfieldd" ] || exit 2
folder=$(mktemp -d) || exit 2
: >"$here/record.txt"
"$program" "$root" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
exit $status
