#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/review-standin-2
[ -x "$program" ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec "$program" stale-start review/10
