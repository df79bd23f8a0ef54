#!/bin/bash
# The scripts of review/11 to review/15 start the program that the build of the deploy
# file makes, and stand-ins that are plain files in review/lib-3 and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/lacewingwinch.cjs
test -r review/lib-3/fleet.mjs.txt
