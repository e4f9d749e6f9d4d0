# Functions that start and stop a local test site on loopback: in-memory targets
# and platform (cmd/standin) and three VMs. Other scripts source this file; all
# processes are stopped when the script exits.
work=$(mktemp -d)
pids=()
processes=""
zones=(none quetzaltenango guatemala coban)
vm_pids=(none)

# stop_site ends all processes, suspended ones too, and removes the work
# directory.
stop_site() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_site EXIT

# wait_port PORT waits for about 10 s until a process listens on the port.
wait_port() {
  for _ in $(seq 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "nothing listens on port $1" >&2
  return 1
}

# start_target NAME PORT starts a target and adds NAME=PID to processes.
start_target() {
  "$work/bin/standin" target --address "127.0.0.1:$2" & pids+=($!)
  processes="$processes$1=$!,"
}

# start_platform starts the platform with the three VMs on its list, and sets
# platform_pid.
start_platform() {
  local vms=""
  for n in 1 2 3; do vms="$vms,vm-$n/${zones[$n]}/127.0.0.1:644$n"; done
  "$work/bin/standin" platform --address 127.0.0.1:2379 --vms "$vms" & pids+=($!)
  platform_pid=$!
  wait_port 2379
}

# start_vm NUMBER starts VM 1, 2 or 3 and sets its element of vm_pids.
start_vm() {
  cat >"$work/vm-$1.json" <<JSON
{
  "vm": "vm-$1",
  "zone": "${zones[$1]}",
  "callers": "127.0.0.1:643$1",
  "peers": "127.0.0.1:644$1",
  "admin": "127.0.0.1:910$1",
  "platform": "127.0.0.1:2379",
}
JSON
  "$work/bin/amaranthsilld" --settings "$work/vm-$1.json" 2>>"$work/vm-$1.log" & pids+=($!)
  vm_pids[$1]=$!
  wait_port "643$1"
}

# start_site builds all commands, starts the platform, the targets of two groups
# and three VMs, and submits the example manifest.
start_site() {
  mkdir -p "$work/bin"
  go build -o "$work/bin/" ./cmd/...
  start_platform
  start_target choir-a 7001; start_target choir-b 7002; start_target choir-c 7003
  start_target dues-a 7011; start_target dues-b 7012; start_target dues-c 7013
  "$work/bin/amaranthsill" submit --platform 127.0.0.1:2379 examples/choir.json
  for n in 1 2 3; do start_vm $n; done
}

# wait_primary GROUP waits until the first VM knows the group's primary. It sets
# primary to the target's name and primary_pid to its process ID.
wait_primary() {
  for _ in $(seq 200); do
    primary=$("$work/bin/amaranthsill" status --vms 127.0.0.1:9101 | sed -n "s/.*group $1 primary \([^ ]*\) term.*/\1/p")
    if [ -n "$primary" ]; then break; fi
    sleep 0.05
  done
  primary_pid=$(tr ',' '\n' <<<"$processes" | sed -n "s/^$primary=//p")
}
