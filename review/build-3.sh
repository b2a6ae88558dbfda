#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/review-3/. They use the C++ library, nlohmann-json3-dev and no code of
# the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/common-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-3/$name" \
    "$source" &
done
wait
for source in review/common-3/*.cpp; do
  test -x "target/review-3/$(basename "$source" .cpp)"
done
