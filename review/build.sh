#!/usr/bin/env bash
# Builds the program that plays the scripts of the review: stand-ins for the platform's store, executors and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o bin/review-stage ./review/stage
