#!/usr/bin/env bash
# Builds the program that starts the entry hosts of a case and plays its searchers, store and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stage ./review/stage
