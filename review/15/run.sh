#!/usr/bin/env bash
# Exits with 1 if a request that crashes workers reached too many of them, 0 if not, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/lab3 case deadly review/15/record.txt
