#!/usr/bin/env bash
# Plays case 3: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 plays
# it without the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/fenneljobd ] || [ ! -x target/review-standin ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec target/review-standin gang review/3/record.txt
