#!/usr/bin/env bash
# Checks format (clang-format) and lint (clang-tidy); changes nothing.
# With arguments, checks just these files.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.h' | grep -v '_generated\.h$')
fi
clang-format --dry-run -Werror "${files[@]}"
mapfile -t units < <(printf '%s\n' "${files[@]}" |
  grep -E '^(src|platform|tools|benchmark|fuzz)/.*\.cpp$' || true)
[ ${#units[@]} -eq 0 ] && exit 0
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>"$build/tidy.log" ||
  { echo "lint: failed"; exit 1; }
echo "lint: clean (${#files[@]} files)"
