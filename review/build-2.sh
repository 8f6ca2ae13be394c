#!/bin/sh
# Builds the stand-ins of the second review, without a network. They are no members of the project's workspace.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --offline --locked --release --manifest-path review/standin-2/Cargo.toml
