#!/usr/bin/env bash
# Runs the soak test with other seeds: soak.sh FIRST COUNT [JOBS [CASE]]. CASE
# is a case of soak_of_failures, seed_501 by default. Needs a build. Prints the
# seeds that failed; their logs stay in build/test-logs/ and
# build/test-runs/. The last line is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 2 ]; then
  echo "usage: scripts/soak.sh FIRST COUNT [JOBS [CASE]]" >&2
  exit 2
fi
build=${BUILD_DIR:-build}
case=${4:-seed_501}
mkdir -p "$build/test-logs"

run_seed() {
  local seed=$1 log="$build/test-logs/soak-$case-$1.log"
  if RADISHROAD_TEST_SEED=$seed timeout 120 "$build/tests/process_tests" \
    --run_test=soak_of_failures/$case --log_level=message >"$log" 2>&1; then
    echo pass
  else
    echo "failed: seed $seed ($log)" >&2
    echo FAIL
  fi
}
export -f run_seed
export build case

results=$(seq "$1" $(($1 + $2 - 1)) |
  xargs -r -P "${3:-3}" -I{} bash -c 'run_seed {}')
failed=$(grep -c FAIL <<<"$results")
passed=$(grep -c pass <<<"$results")
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
