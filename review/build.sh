#!/bin/sh
# Builds the stand-ins that the scripts start. It needs Go alone, and no network.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/standin .
