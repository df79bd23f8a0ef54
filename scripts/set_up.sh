#!/usr/bin/env bash
# Installs what the tests need: the npm packages and the Spin model checker.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update
  apt-get install --yes spin gcc libc6-dev
fi
npm ci --no-audit --no-fund
