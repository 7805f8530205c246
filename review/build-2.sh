#!/bin/sh
# Builds the stand-in of the second review's cases: the platform's store, minions, advice service and clients.
# It uses the modules that the build of the deploy file uses, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-bed-2 ./review/.standin-2
