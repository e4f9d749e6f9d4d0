#!/usr/bin/env bash
# Plays cases of review/ against a build made as deploy/system.toml says, and prints the
# build, the conditions, each exit code and a line of totals for each case.
#
#   bash scripts/review.sh [-n RUNS] [-j JOBS] [-o DIRECTORY] [CASE...]
#
# Without CASE it plays 1, 4 and 5. -n is how often each is played, 5 by default, and -j
# how many runs there are at a time, 1 by default. The records and logs of the runs that do
# not hold are kept in DIRECTORY, which is a new one under $TMPDIR by default. TROUBLE=0
# leaves the disruptions out, as in review/.
#
# A case's exit codes are 0 (held), 1 (rule broken) and 2 (could not run). This script
# exits with 0 if all runs held, 1 if a rule was broken, and 2 if a run or the build
# failed otherwise. "Could not run" says nothing about the rule.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=5 jobs=1 kept=
while getopts n:j:o: option; do
  case $option in
  n) runs=$OPTARG ;;
  j) jobs=$OPTARG ;;
  o) kept=$OPTARG ;;
  *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || set -- 1 4 5
kept=${kept:-$(mktemp -d)}
mkdir -p "$kept"

# Without the former programs, a build that fails cannot pass for this tree's.
rm -f target/amaranthsilld bin/review-standin
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml | sed 's/\\"/"/g')
echo "build line: $build"
if ! sh -c "$build" || ! sh review/build.sh; then
  echo "the build failed" >&2
  exit 2
fi
version=$(target/amaranthsilld --version)
echo "build: $version"
echo "sources of this tree: $(sh scripts/sources.sh)"
echo "commit: $(git log -1 --format='%h %s' 2>/dev/null || echo unknown) ($(git status --porcelain 2>/dev/null | wc -l) files changed)"
echo "review/: $(find review -type f ! -name record.txt | LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c1-16)"
echo "machine: $(uname -srm), $(nproc) processors, $(awk '/MemAvailable/ {print int($2/1024)}' /proc/meminfo) MiB available, load $(cut -d' ' -f1-3 /proc/loadavg)"
echo "process: user $(id -u), $(ulimit -n) descriptors, $(ulimit -u) processes, ephemeral ports $(cat /proc/sys/net/ipv4/ip_local_port_range)"
echo "settings: TROUBLE=${TROUBLE:-1} GOFLAGS=$(go env GOFLAGS) GODEBUG=${GODEBUG:-} GOMAXPROCS=${GOMAXPROCS:-} $(env | grep -c '^AMARANTHSILL_' || true) variables AMARANTHSILL_*"

# play runs a case once and writes its exit code to a file. Each run has a tree of its
# own, since a case writes its record beside its script.
play() {
  local name=$1 run=$2 tree=$kept/$1-$2 code=0
  mkdir -p "$tree/target" "$tree/bin" "$tree/tmp"
  cp -r review "$tree/"
  ln "target/amaranthsilld" "$tree/target/" 2>/dev/null || cp target/amaranthsilld "$tree/target/"
  ln bin/review-standin "$tree/bin/" 2>/dev/null || cp bin/review-standin "$tree/bin/"
  KEEP=1 TMPDIR=$tree/tmp sh "$tree/review/$name/run.sh" >"$tree/output" 2>&1 || code=$?
  echo "$code" >"$tree/code"
  echo "review/$name run $run: exit $code, load $(cut -d' ' -f1 /proc/loadavg): $(grep -v '^logs are in' "$tree/output" | tail -1)"
  if [ "$code" = 0 ]; then
    find "$tree" -mindepth 1 ! -name code -delete
    return
  fi
  # Then another run's VMs may have answered this one's clients.
  echo "review/$name run $run: $(cat "$tree"/tmp/review*/*.log 2>/dev/null | grep -c 'address already in use' || true) times an address was in use"
}

for name in "$@"; do
  for run in $(seq "$runs"); do
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
    play "$name" "$run" &
  done
done
wait
verdict=0
for name in "$@"; do
  codes=$(cat "$kept/$name"-*/code)
  count() { grep -cx "$1" <<<"$codes" || true; }
  broken=$(count 1)
  held=$(count 0)
  echo "review/$name: $held of $runs held, $broken broken, $((runs - held - broken)) could not run"
  [ "$((runs - held - broken))" = 0 ] || verdict=2
  [ "$broken" = 0 ] || verdict=1
done
[ "$verdict" = 0 ] || echo "records and logs: $kept"
exit "$verdict"
