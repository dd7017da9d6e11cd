#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They use the standard library only, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig3 review/rig3/main.rs
