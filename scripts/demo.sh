#!/usr/bin/env bash
# Starts in-memory targets, the platform and three VMs on loopback, runs the
# demo and a short load test, and stops all processes. The exit code is non-zero
# if a check of the demo or of the load test fails.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/site.sh
start_site 2>/dev/null
status=0
"$work/bin/demo" --processes "$processes" 2>&1 || status=$?
echo "measured part, 3 s on what is left of the group:"
"$work/bin/load" --for 3s || status=$?
if [ "$status" -ne 0 ]; then cat "$work"/vm-*.log >&2; fi
exit "$status"
