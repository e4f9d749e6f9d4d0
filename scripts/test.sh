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
# shellcheck disable=SC2086
go test -race $packages
# The simulation runs in one goroutine, so the race detector would find nothing.
go test ./internal/world
wait "$spec_pid"
# Runs entry VMs as processes under faults. The test measures real time, so
# nothing else runs at the same time.
go test ./internal/soak
