#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. Run it from anywhere, after the build of the
# deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/testdata/rig-2
