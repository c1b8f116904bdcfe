#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-2 ./review/stage2
