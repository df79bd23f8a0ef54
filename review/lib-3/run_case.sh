#!/bin/bash
# Runs the case in the folder given: exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
repository="$(cd "$folder/../.." && pwd)"
temporary="$(mktemp -d)"
trap '[ -n "${KEEP:-}" ] && cp -r "$temporary" "$KEEP"; rm -rf "$temporary"' EXIT
cp "$repository/review/lib-3/fleet.mjs.txt" "$temporary/fleet.mjs"
cp "$folder/case.mjs.txt" "$temporary/case.mjs"
export REPOSITORY="$repository" TEMPORARY="$temporary" RECORD="$folder/record.txt"
timeout --signal=TERM --kill-after=5 115 node "$temporary/case.mjs"
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then
  exit 2
fi
exit "$code"
