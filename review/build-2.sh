#!/usr/bin/env bash
# Builds the stand-ins of review/standin-2 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
