#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/sycamorelockd ] && [ -x target/review-2/check-6 ] || exit 2
# 0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 5 110 target/review-2/check-6 review/6/record.txt
