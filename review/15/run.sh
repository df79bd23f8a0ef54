#!/bin/bash
exec "$(dirname "$0")/../lib-3/run_case.sh" "$(dirname "$0")"
