#!/usr/bin/env bash
# Installs the packages that the build and the tests need (Debian 12).
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache git pkg-config
  clang-format clang-tidy curl
  libpistache-dev libcurl4-openssl-dev libssl-dev libflatbuffers-dev
  libboost-dev libboost-test-dev libpopt-dev liblog4cplus-dev
  libexpected-dev libyaml-cpp-dev libxxhash-dev nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq \
  --no-install-recommends "${missing[@]}"
