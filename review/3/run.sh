#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 in the environment it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-rig ] && [ -x target/frosttide-control ] && [ -x target/frosttide-data ] || exit 2
exec target/review-rig spec review/3/record.txt
