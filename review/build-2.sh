#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/9.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2 ./review/testdata/standin-2
