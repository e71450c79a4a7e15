#!/usr/bin/env bash
# Builds the stand-ins of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
