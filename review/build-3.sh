#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/lab3 ./review/lab3
