#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
