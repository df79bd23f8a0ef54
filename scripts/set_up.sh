#!/usr/bin/env bash
# Installs the dependencies of the tests: the npm packages, the Spin model
# checker and the C compiler that it needs.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update
  apt-get install --yes spin gcc libc6-dev
fi
npm ci --no-audit --no-fund
