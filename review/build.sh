#!/usr/bin/env bash
# Builds the stand-in that the scripts start. The build line of deploy/system.toml comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/testdata/standin
