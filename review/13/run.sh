#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-13 ] && [ -x target/bin/tanager-gateway ] || exit 2
timeout --signal=KILL 110 target/review-3/case-13 review/13/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
