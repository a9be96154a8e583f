#!/bin/sh
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o review/bin/stage ./review/stage
