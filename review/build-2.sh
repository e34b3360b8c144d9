#!/bin/sh
# Builds the stand-ins and the harness that the scripts of review/6 and later start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/lab2 ./review/lab2
