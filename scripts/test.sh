#!/usr/bin/env bash
# Runs all checks: formatting, linting, vetting, model checking, and every test
# with fixed seeds. All packages run with the race detector except internal/world
# and internal/soak.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofumpt -l .)
if [ -n "$unformatted" ]; then
  echo "gofumpt would change:" $unformatted >&2
  exit 1
fi
revive -config revive.toml ./...
go vet ./...
go build ./...
bash scripts/spec.sh &
spec_pid=$!
packages=$(go list ./... | grep -v -e /internal/world -e /internal/soak)
# Packages named in KNOWN-RED.txt run without the specs listed there. Those specs
# run on their own; their result is printed and does not count.
red=$(sed -n 's|^\./\([^:]*\): .*|\1|p' KNOWN-RED.txt | sort -u)
for package in $red; do packages=$(grep -v "/$package\$" <<<"$packages"); done
# shellcheck disable=SC2086
go test -race $packages
for package in $red; do
  specs=$(sed -n "s#^\./$package: \([^|]*[^| ]\) *|.*#\1#p" KNOWN-RED.txt | paste -sd '|')
  go test -race "./$package" -ginkgo.skip "$specs"
  verdict=passed
  go test -race -count=1 "./$package" -ginkgo.focus "$specs" || verdict=failed
  echo "known red, $verdict: $package: $specs"
done
# The simulation runs in one goroutine, so the race detector would find nothing.
go test ./internal/world
wait "$spec_pid"
# Runs entry VMs as processes under faults. The test measures real time, so
# nothing else runs at the same time.
# A cached result would be one of another build, since the test builds the program
# itself.
go test -count=1 ./internal/soak
