#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/testdata/rig
