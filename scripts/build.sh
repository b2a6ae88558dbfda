#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >"$build.configure.log" 2>&1 ||
  { cat "$build.configure.log"; exit 1; }
cmake --build "$build" "$@"
