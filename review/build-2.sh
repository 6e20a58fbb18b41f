#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review, after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/harness-2
