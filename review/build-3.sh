#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --manifest-path review/standin-3/Cargo.toml
