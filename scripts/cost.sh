#!/usr/bin/env bash
# Measures what one VM process spends: processor time for a statement under
# load, at rest with two watched groups, and memory.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/site.sh
start_site >/dev/null 2>&1
sleep 1

# spent prints the processor time of the VMs so far, in hundredths of a second.
spent() {
  local sum=0
  for n in 1 2 3; do
    set -- $(cut -d' ' -f14,15 "/proc/${vm_pids[$n]}/stat")
    sum=$((sum + $1 + $2))
  done
  echo "$sum"
}

before=$(spent)
sleep 10
after=$(spent)
echo "at rest: $((after - before)) hundredths of a second for 3 VMs in 10 s"
before=$(spent)
"$work/bin/load" --for 8s --sessions 24 --think 0s --roam 0 --save "$work/result.json"
after=$(spent)
requests=$(sed -n 's/ *"requests": \([0-9]*\),/\1/p' "$work/result.json")
echo "under load: $(((after - before) * 10000 / requests)) us of processor for a request"
for n in 1 2 3; do
  sed -n "s/^VmRSS: */VM $n resident: /p" "/proc/${vm_pids[$n]}/status"
done
