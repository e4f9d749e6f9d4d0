#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -e
cd "$(dirname "$0")/lab3"
go build -o ../../bin/lab3 .
