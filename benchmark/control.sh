#!/usr/bin/env bash
# Measures what an idle daemon costs, by the size of its cell: CPU share of one
# core, memory, control bytes sent and received per second, and the number of
# appends to the log since the start of the fleet.
# Usage: benchmark/control.sh [SECONDS (15)] [DAEMONS... (4 8 16 32)]
set -euo pipefail
cd "$(dirname "$0")/.."
export RADISHROAD_RUN_DIR=run/control RADISHROAD_NET=${RADISHROAD_NET:-127.79.0}
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
seconds=${1:-15}
shift $(($# < 1 ? $# : 1))
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(4 8 16 32)
ticks=$(getconf CLK_TCK)
trap stop_fleet EXIT

# CPU ticks of all daemons together, from /proc/PID/stat.
all_ticks() {
  awk -F'\t' '$1 == "daemon" { print $2 }' "$run/fleet.tsv" |
    while read -r pid; do awk '{ print $14 + $15 }' "/proc/$pid/stat"; done |
    awk '{ sum += $1 } END { print sum }'
}

mean_memory() {
  awk -F'\t' '$1 == "daemon" { print $2 }' "$run/fleet.tsv" |
    while read -r pid; do
      awk '$1 == "VmRSS:" { print $2 }' "/proc/$pid/status"
    done | awk '{ sum += $1 } END { printf "%.0f", sum / NR }'
}

# all_metric NAME: the sum of a metric over all daemons.
all_metric() {
  awk -F'\t' '$1 == "daemon" { print $8 }' "$run/fleet.tsv" |
    while read -r address; do curl -s "http://$address/metrics"; done |
    awk -v name="radishroad_$1" '$1 == name { sum += $2 }
      END { printf "%.0f", sum }'
}

printf '%8s %8s %9s %10s %10s %8s\n' daemons 'core %' 'rss kB' \
  'sent B/s' 'recv B/s' appends
for n in "${sizes[@]}"; do
  mkdir -p "$run"
  rm -f "$run"/*
  start_log
  wait_for 10 "the log service" answers "http://$log_address/v1/streams/config"
  for ((i = 1; i <= n; i++)); do
    start_vm "$i" "catalog-$i" "${zones[i % 3]}" catalog
  done
  RADISHROAD_LOG_ADDRESS=$log_address "$build/src/main/radishroad" \
    config publish examples/guild >/dev/null
  wait_for 60 "the daemons to serve" all_ready
  sleep 5
  before=$(all_ticks)
  sent=$(all_metric control_sent_bytes_total)
  received=$(all_metric control_received_bytes_total)
  sleep "$seconds"
  after=$(all_ticks)
  sent=$(($(all_metric control_sent_bytes_total) - sent))
  received=$(($(all_metric control_received_bytes_total) - received))
  awk -v n="$n" -v s="$seconds" -v hz="$ticks" -v t=$((after - before)) \
    -v out="$sent" -v in_="$received" -v kb="$(mean_memory)" \
    -v appends="$(grep -c '"append"' "$run/log.journal" || true)" 'BEGIN {
      printf "%8d %8.2f %9d %10.0f %10.0f %8d\n", n, t / hz / s / n * 100, kb,
        out / s / n, in_ / s / n, appends }'
  stop_fleet
done
