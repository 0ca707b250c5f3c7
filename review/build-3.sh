#!/usr/bin/env bash
# Builds the stand-ins of the scripts 11 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/testdata/standin-3
