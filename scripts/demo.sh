#!/usr/bin/env bash
# Starts the stand-ins and three VMs on loopback, runs the demo and a short
# measured load, and stops everything. The exit code is non-zero if a promise
# does not hold.
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
