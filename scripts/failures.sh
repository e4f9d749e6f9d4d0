#!/usr/bin/env bash
# Injects failures into running processes under load and checks that no
# acknowledged write is lost, no refused write runs, and sessions read their own
# writes. Every failure gets a new set of processes.
set -euo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0

# inject NAME FAULTS [LENGTH] runs a load test with the faults, for 8 s unless
# LENGTH is given. In FAULTS, {P} is replaced by the process ID of the primary of
# group choir, {V1} to {V3} by those of the VMs, and {S} by that of the platform.
inject() (
  . scripts/site.sh
  start_site >/dev/null 2>&1
  sleep 1
  wait_primary choir
  faults=$2
  faults=${faults//'{P}'/$primary_pid}
  faults=${faults//'{V1}'/${vm_pids[1]}}
  faults=${faults//'{V2}'/${vm_pids[2]}}
  faults=${faults//'{V3}'/${vm_pids[3]}}
  faults=${faults//'{S}'/$platform_pid}
  echo "== $1 (primary $primary)"
  "$work/bin/load" --for "${3:-8s}" --faults "$faults"
)

# run NAME FAULTS [LENGTH] injects one failure and counts the result.
run() {
  if inject "$@"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "failed: $1" >&2; fi
}

run "primary killed" "2s:KILL:{P}"
run "primary frozen and woken" "2s:STOP:{P},6s:CONT:{P}"
run "VM killed" "2s:KILL:{V2}"
run "VM frozen and woken" "2s:STOP:{V1},6s:CONT:{V1}"
run "platform killed, then the primary" "2s:KILL:{S},3s:KILL:{P}"
run "promoter frozen, then the primary killed" "2s:STOP:{V1},2500ms:KILL:{P},6s:CONT:{V1}"
run "VM stopped gracefully" "2s:TERM:{V3}"
echo "failures: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
