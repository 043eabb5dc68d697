#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into review/bin. The gateway is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins2"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod go test -c -o ../bin/standins2.test .
