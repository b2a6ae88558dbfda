#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, beside the daemon that the
# deploy file builds: one program a case, with all of its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  if [ -f "$source" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
      -o "target/review-2/case-$number" &
  fi
done
wait
for number in 6 7 8 9 10; do
  [ ! -f "review/$number/case.cpp" ] || [ -x "target/review-2/case-$number" ]
done
