#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, each with its case, into
# target/review/. The daemon is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
