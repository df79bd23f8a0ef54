#!/bin/bash
# Builds what the scripts of review/6 to review/10 start, after the build of the
# deploy file. The servers, the store and the clients of the scripts are plain
# files in review/lib-2 and need no build; the store stand-in is the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b packages/stand-ins/tsconfig.build.json
