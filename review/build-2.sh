#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. Needs no network once the build of deploy/system.toml has run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=(cargo build --release --locked --manifest-path review/rig2/Cargo.toml --target-dir target/review-2)
"${build[@]}" --offline || "${build[@]}"
