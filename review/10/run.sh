#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jaylock-node ] && [ -x target/review-2/case-10 ] || exit 2
timeout -k 2 100 target/review-2/case-10
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
