#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-standin ] || exit 2
exec target/review/release/review-standin case 3 review/3
