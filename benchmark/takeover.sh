#!/usr/bin/env bash
# Measures how long keys are unavailable after failures on real processes: runs
# tests of tests/process with other seeds and prints, for each test, the median
# and worst of the longest wait for a key, the requests that were not answered,
# and the appends to the log.
# Usage: benchmark/takeover.sh [SEEDS (20)] [JOBS (3)] [TEST...]
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1
build=${BUILD_DIR:-build}
seeds=${1:-20}
jobs=${2:-3}
shift $(($# < 2 ? $# : 2))
tests=("$@")
[ ${#tests[@]} -gt 0 ] || tests=(loss/of_daemon_catalog loss/of_daemon_library
  loss/of_vm_catalog loss/of_vm_library loss/of_upstream_catalog
  loss/of_upstream_library)
first_seed=101
out=$build/takeover
mkdir -p "$out"

# Runs one test with one seed. The figures are in a message of the test (see
# Scenario::stopTraffic).
run_seed() {
  RADISHROAD_TEST_SEED=$2 timeout 120 "$build/tests/process_tests" \
    --run_test="$1" --log_level=message --color_output=no \
    >"$out/${1//\//.}-$2.log" 2>&1 || echo "$1 seed $2: failed" >&2
}
export -f run_seed
export build out

figures() {
  cat "$out/${1//\//.}"-*.log |
    sed -nE 's/^seed .*: ([0-9]+) sent, ([0-9]+) answered, .*longest wait for a key ([0-9]+) ms, appends ([0-9]+).*/\3 \1 \2 \4/p' |
    sort -n
}

printf '%-28s %5s %10s %9s %14s %8s\n' test runs "median ms" "worst ms" \
  "not answered" appends
for test in "${tests[@]}"; do
  rm -f "$out/${test//\//.}"-*.log
  # shellcheck disable=SC2016  # expanded by the inner shell
  seq "$first_seed" $((first_seed + seeds - 1)) |
    xargs -P "$jobs" -I{} bash -c 'run_seed "$0" "$1"' "$test" {}
  figures "$test" | awk -v test="$test" '
    { wait[NR] = $1; sent += $2; lost += $2 - $3; appends += $4 }
    END {
      if (NR == 0) { print test, "no figures"; exit }
      median = NR % 2 ? wait[(NR + 1) / 2] : (wait[NR / 2] + wait[NR / 2 + 1]) / 2
      printf "%-28s %5d %10s %9s %6d of %5d %8.1f\n", test, NR, median,
        wait[NR], lost, sent, appends / NR
    }'
done
