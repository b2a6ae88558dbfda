#!/usr/bin/env bash
# Measures latency and cost of the router on loopback: the same load sent
# directly to an upstream, through one daemon and through two daemons; then CPU
# time, memory and the cost of an idle daemon. With "search": the highest rate
# on each of the same three paths at which 99 in 100 requests are answered
# within 11 ms.
# Usage: benchmark/load.sh [RATE (4100)] [SECONDS (10)]
#        benchmark/load.sh search [SECONDS (5)]
set -euo pipefail
cd "$(dirname "$0")/.."
export RADISHROAD_RUN_DIR=run/load RADISHROAD_NET=${RADISHROAD_NET:-127.78.0}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
mode=rows
warm_up=10
if [ "${1:-}" = search ]; then
  mode=search
  warm_up=5
  shift
  set -- 4100 "${1:-5}"
fi
rate=${1:-4100}
seconds=${2:-10}
limit_ms=11
lowest_rate=500
highest_rate=16500
rate_step=500
ticks=$(getconf CLK_TCK)
trap stop_fleet EXIT

load() {
  "$build/tools/rr-load" --rate "$rate" --seconds "$seconds" \
    --warm-up "$warm_up" \
    --threads 2 --connections 100 --keys 500 --seed 1 \
    --caller-key guild-key-1 --caller-key guild-key-2 \
    --caller-key guild-key-3 "$@"
}

# field NAME: prints the first value of this name in the summary on stdin.
field() {
  sed -nE "s/^ *\"$1\": ([0-9.]+),?$/\1/p" | head -n 1
}

row() {
  local name=$1 summary=$2
  printf '%-34s %9s %9s %9s %9s of %s\n' "$name" \
    "$(field p50 <<<"$summary")" "$(field p99 <<<"$summary")" \
    "$(field 'p99\.9' <<<"$summary")" "$(field answered <<<"$summary")" \
    "$(field sent <<<"$summary")"
}

pid_of() {
  awk -F'\t' -v vm="$1" '$1 == "daemon" && $4 == vm { print $2 }' \
    "$run/fleet.tsv"
}

cpu_ticks() {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}

memory_kb() {
  awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}

# The search needs rate limits of workspaces above the rates that it tries.
config_folder() {
  if [ "$mode" = rows ]; then
    echo examples/guild
    return
  fi
  mkdir -p "$run/config"
  cp examples/guild/*.yaml "$run/config"
  sed -i -E 's|rate: .*|rate: 20000/s|; s|burst: .*|burst: 2000|' \
    "$run/config/40-workspaces.yaml"
  echo "$run/config"
}

start_fleet() {
  local i
  mkdir -p "$run"
  rm -rf "${run:?}"/*
  start_log
  wait_for 10 "the log service" answers "http://$log_address/v1/streams/config"
  for ((i = 1; i <= $1; i++)); do
    start_vm $i "catalog-$i" "${zones[i % 3]}" catalog --service-ms 1
  done
  for ((i = 1; i <= $2; i++)); do
    start_vm $(($1 + i)) "library-$i" "${zones[i % 3]}" library --service-ms 1
  done
  RADISHROAD_LOG_ADDRESS=$log_address "$build/src/main/radishroad" \
    config publish "$(config_folder)" >/dev/null
  wait_for 30 "the daemons to serve" all_ready
}

# holds RATE TARGET: true if at this rate every request is answered, and 99 in
# 100 within the limit.
holds() {
  local summary answered sent p99
  rate=$1
  summary=$(load --target "$2")
  answered=$(field answered <<<"$summary")
  sent=$(field sent <<<"$summary")
  p99=$(field p99 <<<"$summary")
  printf '  %s/s: p99 %s ms, answered %s of %s\n' \
    "$rate" "$p99" "$answered" "$sent"
  [ "$answered" = "$sent" ] &&
    awk -v p99="$p99" -v limit="$limit_ms" 'BEGIN { exit !(p99 <= limit) }'
}

# Binary search over the rates, down to one step: 5 runs.
search() {
  local name=$1 target=$2 low=$lowest_rate high=$highest_rate middle
  printf '%s\n' "$name"
  while [ $((high - low)) -gt "$rate_step" ]; do
    middle=$(((low + high) / 2 / rate_step * rate_step))
    if holds "$middle" "$target"; then low=$middle; else high=$middle; fi
  done
  if [ "$low" -gt "$lowest_rate" ]; then
    printf '%s: %s/s held within %s ms\n' "$name" "$low" "$limit_ms"
  else
    printf '%s: no rate held within %s ms\n' "$name" "$limit_ms"
  fi
}

if [ "$mode" = search ]; then
  uptime
  start_fleet 1 1
  search "directly to an upstream" "$net.2:9000"
  search "through one daemon, one upstream" "$net.2:8080"
  stop_fleet
  start_fleet 4 3
  search "through two daemons, 4 upstreams" "$net.6:8080"
  exit
fi

printf '%s requests a second for %s s; %s\n' "$rate" "$seconds" "$(uptime)"
printf '%-34s %9s %9s %9s %9s\n' "latency in ms" p50 p99 p99.9 answered

# The other daemon, of library, owns none of the keys, but it may own the token
# bucket of a workspace.
start_fleet 1 1
row "directly to an upstream" "$(load --target "$net.2:9000")"
before=$(cpu_ticks "$(pid_of catalog-1)")
summary=$(load --target "$net.2:8080")
after=$(cpu_ticks "$(pid_of catalog-1)")
row "through one daemon" "$summary"
awk -v t=$((after - before)) -v hz="$ticks" -v n=$((rate * (seconds + 10))) \
  'BEGIN { printf "CPU time per request: %.3f ms\n", t / hz / n * 1000 }'
for connections in 1 100 1000; do
  "$build/tools/rr-load" --target "$net.2:8080" --rate 50 --seconds 2 \
    --hold "$connections" --caller-key guild-key-1 >/dev/null &
  holder=$!
  sleep 2
  printf 'memory with %s caller connections: %s kB\n' "$connections" \
    "$(memory_kb "$(pid_of catalog-1)")"
  wait $holder
done
stop_fleet

start_fleet 4 3
row "through two daemons, 4 upstreams" "$(load --target "$net.6:8080")"
idle=$(pid_of catalog-2)
before=$(cpu_ticks "$idle")
sleep 10
after=$(cpu_ticks "$idle")
awk -v t=$((after - before)) -v hz="$ticks" \
  'BEGIN { printf "idle daemon of 7: %.2f%% of a core", t / hz / 10 * 100 }'
printf ', %s kB\n' "$(memory_kb "$idle")"
