#!/usr/bin/env bash
# Builds the stand-in that the scripts of this review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/.standin
