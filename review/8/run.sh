#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-bed-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-bed-2 -case unanswered -record review/8/record.txt -daemon target/fenneljobd
