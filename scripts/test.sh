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
# Packages named in KNOWN-RED.txt run without the specs and tests listed there. Those run
# on their own; their result is printed and does not count. An entry that begins with
# Test is a test of package testing, any other a Ginkgo spec.
entries() { sed -n "s#^\./$1: \([^|]*[^| ]\) *|.*#\1#p" KNOWN-RED.txt; }
red=$(sed -n 's|^\./\([^:]*\): .*|\1|p' KNOWN-RED.txt | sort -u)
for package in $red; do packages=$(grep -v "/$package\$" <<<"$packages"); done
# shellcheck disable=SC2086
go test -race $packages
for package in $red; do
  specs=$(entries "$package" | grep -v '^Test' | paste -sd '|' || true)
  tests=$(entries "$package" | grep '^Test' | paste -sd '|' || true)
  go test -race "./$package" ${tests:+-skip "$tests"} ${specs:+-ginkgo.skip "$specs"}
  verdict=passed
  if [ -n "$specs" ]; then
    go test -race -count=1 "./$package" ${tests:+-skip "$tests"} -ginkgo.focus "$specs" || verdict=failed
  fi
  if [ -n "$tests" ]; then
    go test -race -count=1 "./$package" -run "$tests" || verdict=failed
  fi
  echo "known red, $verdict: $package: $specs $tests"
done
# The simulation runs in one goroutine, so the race detector would find nothing.
go test ./internal/world
wait "$spec_pid"
# Runs entry VMs as processes under faults. The test measures real time, so
# nothing else runs at the same time.
# A cached result would be one of another build, since the test builds the program
# itself.
go test -count=1 ./internal/soak
