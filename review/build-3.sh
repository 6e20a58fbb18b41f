#!/bin/sh
# Builds the harness of the third review's scripts, with the stand-ins that it starts.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/harness-3
