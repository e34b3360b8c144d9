#!/usr/bin/env bash
# Case 2. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" # 0: the same without the disruption
exec target/review-lab unlearned-removal review/2
