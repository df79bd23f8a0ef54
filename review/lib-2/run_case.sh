#!/bin/bash
# Runs the case in the folder $1: copies its program and the library to a temporary
# folder, and passes on the exit code. 0: the rule held, 1: it was broken, 2: the
# case could not run. The record is written to record.txt in the folder of the case.
case_folder="$(cd "$1" && pwd)"
library="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$library/../.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
cp "$library/fleet.mjs.txt" "$folder/fleet.mjs" || exit 2
cp "$case_folder/case.mjs.txt" "$folder/case.mjs" || exit 2
cd "$root" || exit 2
REVIEW_ROOT="$root" REVIEW_FOLDER="$folder" REVIEW_RECORD="$case_folder/record.txt" \
  timeout --signal=TERM 118 node "$folder/case.mjs"
code=$?
case $code in
0 | 1 | 2) exit $code ;;
*) exit 2 ;;
esac
