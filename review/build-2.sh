#!/bin/sh
# Builds the stand-ins and the cases of the second review into bin/, with nothing from the
# network. The system's own program is built by the deploy file.
set -e
cd "$(dirname "$0")/harness"
GOPROXY=off go build -o ../../bin/review2 .
