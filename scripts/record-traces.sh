#!/usr/bin/env bash
# Records the traces in tests/traces/ again from runs of real processes, and
# replays them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
"$build/tests/process_tests" --run_test=traces --log_level=message
for folder in "$build"/test-runs/trace_*/; do
  name=$(basename "$folder")
  cp "$folder/trace.jsonl" "tests/traces/${name#trace_}.jsonl"
done
"$build/tests/unit_tests" --run_test=replay --log_level=message
