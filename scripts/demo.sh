#!/usr/bin/env bash
# Starts the stand-ins and three VMs on loopback, runs the demo and stops
# everything. The exit code is the demo's.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

mkdir -p "$work/bin"
go build -o "$work/bin/" ./cmd/...
bin="$work/bin"

"$bin/standin" platform --address 127.0.0.1:2379 & pids+=($!)
processes=""
start_target() {
  "$bin/standin" target --address "127.0.0.1:$2" & pids+=($!)
  processes="$processes$1=$!,"
}
start_target choir-a 7001; start_target choir-b 7002; start_target choir-c 7003
start_target dues-a 7011; start_target dues-b 7012; start_target dues-c 7013

wait_port() {
  for _ in $(seq 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "nothing listens on port $1" >&2
  return 1
}
wait_port 2379
for n in 1 2 3; do
  zone=$(sed -n "${n}p" <<<"$(printf 'quetzaltenango\nguatemala\ncoban\n')")
  cat >"$work/vm-$n.json" <<JSON
{
  // One VM of the demo.
  "vm": "vm-$n",
  "zone": "$zone",
  "callers": "127.0.0.1:643$n",
  "peers": "127.0.0.1:644$n",
  "admin": "127.0.0.1:910$n",
  "platform": "127.0.0.1:2379",
}
JSON
  curl --silent --show-error --output /dev/null -X PUT "http://127.0.0.1:2379/v1/vms/vm-$n" \
    -d "{\"zone\":\"$zone\",\"address\":\"127.0.0.1:644$n\"}"
done
"$bin/amaranthsill" submit --platform 127.0.0.1:2379 examples/choir.json
for n in 1 2 3; do
  "$bin/amaranthsilld" --settings "$work/vm-$n.json" 2>"$work/vm-$n.log" & pids+=($!)
done
for port in 6431 6432 6433; do wait_port $port; done
status=0
"$bin/demo" --processes "$processes" || status=$?
if [ "$status" -ne 0 ]; then cat "$work"/vm-*.log >&2; fi
exit "$status"
