#!/usr/bin/env bash
# The test command: formatting, linting, vetting, and every test, with fixed
# seeds. The tests that drive the clock themselves run with the race detector.
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
spec=$!
packages=$(go list ./... | grep -v -e /internal/world -e /internal/soak)
# shellcheck disable=SC2086
go test -race $packages
# One goroutine drives the virtual time, so there are no races to look for.
go test ./internal/world
wait "$spec"
# Entry VMs as processes, under faults; alone, since they take real time.
go test ./internal/soak
