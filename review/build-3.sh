#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/trial-3 ./review/trial-3
