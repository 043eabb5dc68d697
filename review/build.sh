#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build command of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go test -c -o bin/cases.test .
