#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/burdockfieldd ] || [ ! -x review/build/case_together ]; then
    echo "run the build of the deploy file and review/build.sh first"
    exit 2
fi
timeout 115 review/build/case_together review/5/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
