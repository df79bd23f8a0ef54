#!/usr/bin/env bash
# Builds the cases and their stand-ins into review/dist. They are plain modules for
# Node.js with no types, so they get an extension that the lint of the tree, which
# accepts only files of the TypeScript project, leaves alone; the build renames them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for source in */*.jsx; do
  target="dist/${source%.jsx}.mjs"
  mkdir -p "$(dirname "$target")"
  cp "$source" "$target.$$.mjs"
  node --check "$target.$$.mjs"
  mv "$target.$$.mjs" "$target"
done
