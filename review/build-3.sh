#!/bin/sh
# Builds the stand of the cases 11 to 15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -tags review3 -o target/review-3/ ./review/stand-3
