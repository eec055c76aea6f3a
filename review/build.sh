#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
rustc --edition 2021 -O --crate-name cases -o target/review/cases review/stand_ins/main.rs
