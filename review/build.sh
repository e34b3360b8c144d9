#!/usr/bin/env bash
# Builds the program that runs the cases and their stand-ins. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-lab ./review/lab
