#!/bin/sh
# Builds the stand-in that the scripts start, from the files beside this one, into bin/. It needs Go
# alone, and no network.
set -e
cd "$(dirname "$0")"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/review-standin .
