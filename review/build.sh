#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-standins .
