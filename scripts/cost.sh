#!/usr/bin/env bash
# Measures the processor time of the VM processes when idle with two watched
# groups and for each request under load, and their resident memory. Starts
# targets, platform and three VMs on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/site.sh
start_site >/dev/null 2>&1
sleep 1

# cpu_ticks prints the user and system time that the three VM processes have used
# so far, in clock ticks of 10 ms.
cpu_ticks() {
  local sum=0
  for n in 1 2 3; do
    set -- $(cut -d' ' -f14,15 "/proc/${vm_pids[$n]}/stat")
    sum=$((sum + $1 + $2))
  done
  echo "$sum"
}

before=$(cpu_ticks)
sleep 10
after=$(cpu_ticks)
echo "at rest: $((after - before)) hundredths of a second for 3 VMs in 10 s"
before=$(cpu_ticks)
"$work/bin/load" --for 8s --sessions 24 --think 0s --roam 0 --save "$work/result.json"
after=$(cpu_ticks)
requests=$(sed -n 's/ *"requests": \([0-9]*\),/\1/p' "$work/result.json")
echo "under load: $(((after - before) * 10000 / requests)) us of processor for a request"
for n in 1 2 3; do
  sed -n "s/^VmRSS: */VM $n resident: /p" "/proc/${vm_pids[$n]}/status"
done
