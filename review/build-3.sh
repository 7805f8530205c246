#!/bin/sh
# Builds the stand-ins of the third review, which the scripts of its cases start.
set -e
cd "$(dirname "$0")/.."
go build -o review/.standin-3/standin ./review/.standin-3
