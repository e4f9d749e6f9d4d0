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
go test -race ./...
