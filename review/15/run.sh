#!/usr/bin/env bash
# Exits with 1 if a request that has run was refused as not run, 0 if none was, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/lab3 case grey-refusal review/15/record.txt
