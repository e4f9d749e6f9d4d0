#!/usr/bin/env bash
# Strikes failures at running processes while callers work, one site for each
# failure, and checks what the callers were told.
set -euo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0

# strike NAME FAULTS: in FAULTS, {P} stands for the primary's process, {V1} to
# {V3} for the VMs, {S} for the platform.
strike() (
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

run() {
  if strike "$@"; then passed=$((passed + 1)); else failed=$((failed + 1)); echo "failed: $1" >&2; fi
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
