#!/usr/bin/env bash
# Builds and runs all tests; the last line is "N passed, N failed". Tests listed
# in KNOWN-RED.txt run too; their failures are printed, but do not count.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh || exit 1
scripts/build.sh || exit 1
build=${BUILD_DIR:-build}
passed=0
failed=0

# Prints a test program's cases as suite/case.
list_cases() {
  "$1" --list_content=HRF 2>&1 | sed 's/\*$//' | awk '
    /^[^ ]/ { suite = $1; if (bare) print bare; bare = ""; bare = $1; next }
    { bare = ""; print suite "/" $1 }
    END { if (bare) print bare }'
}

known_red() {
  [ -f KNOWN-RED.txt ] && grep -qE "^test: $1\$" KNOWN-RED.txt
}

# Runs one case in a process of its own and reports it.
run_case() {
  local program=$1 name=$2 log
  log="$build/test-logs/$(basename "$program")-${name//\//.}.log"
  if timeout 300 "$program" --run_test="$name" --log_level=test_suite \
    >"$log" 2>&1; then
    echo "pass $name"
  else
    echo "FAIL $name ($log)"
  fi
}
export -f run_case
export build

mkdir -p "$build/test-logs"
# Process tests start a dozen processes each, so only a few run at a time.
for spec in "unit 8" "process ${PROCESS_TEST_JOBS:-3}"; do
  read -r kind jobs <<<"$spec"
  program="$build/tests/${kind}_tests"
  results=$(list_cases "$program" |
    xargs -r -P "$jobs" -I{} bash -c 'run_case "$0" "$1"' "$program" {})
  while read -r verdict name rest; do
    [ -n "$verdict" ] || continue
    if [ "$verdict" = pass ]; then
      known_red "$name" && echo "known-red test passes now: $name"
      passed=$((passed + 1))
    elif known_red "$name"; then
      echo "known red: $name $rest"
    else
      echo "failed: $name $rest"
      tail -n 15 "$(echo "$rest" | tr -d '()')"
      failed=$((failed + 1))
    fi
  done <<<"$results"
done

# Fuzz programs run with a fixed seed and count of rounds, so that the result
# is the same in every run.
for program in "$build"/fuzz/fuzz_*; do
  [ -f "$program" ] && [ -x "$program" ] || continue
  if "$program" 1 20000 >"$build/test-logs/$(basename "$program").log" 2>&1
  then
    passed=$((passed + 1))
  else
    echo "failed: $(basename "$program")"
    failed=$((failed + 1))
  fi
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
