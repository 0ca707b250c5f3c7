#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/agatevalve ] && [ -x target/agatevalve-agent ] && [ -x target/review/standin ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
exec target/review/standin drained-start . "review/4/record.txt"
