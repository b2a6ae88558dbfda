#!/usr/bin/env bash
# Installs, builds, starts a small fleet on loopback, publishes the example
# operators' folder, sends requests and stops all.
#   --keep  leave the fleet running; run/fleet.json says what runs where
#   --stop  end a fleet that was kept
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
keep=0
catalog_vms=4
library_vms=3

usage() {
  sed -n '2,6s/^# \{0,1\}//p' "$0"
}

for argument in "$@"; do
  case $argument in
  --keep) keep=1 ;;
  --stop)
    stop_fleet
    echo "stopped"
    exit 0
    ;;
  --help)
    usage
    exit 0
    ;;
  *)
    usage >&2
    exit 2
    ;;
  esac
done

if [ -f "$run/fleet.tsv" ] && ! none_left; then
  echo "a fleet is running: scripts/quickstart.sh --stop ends it" >&2
  exit 1
fi

start_all() {
  local i n=0
  mkdir -p "$run"
  rm -f "$run"/*.journal "$run"/*.out "$run"/fleet.*
  start_log
  wait_for 10 "the log service" answers "http://$log_address/v1/streams/config"
  for ((i = 0; i < catalog_vms; i++)); do
    n=$((n + 1))
    start_vm $n "catalog-$((i + 1))" "${zones[i % 3]}" catalog
  done
  for ((i = 0; i < library_vms; i++)); do
    n=$((n + 1))
    start_vm $n "library-$((i + 1))" "${zones[i % 3]}" library
  done
}

# header FILE NAME: prints a response header; NAME is in lower case.
header() {
  tr -d '\r' <"$1" | awk -F': ' -v name="$2" 'tolower($1) == name { print $2 }'
}

# journal_field VM ID FIELD: prints a field of a request's first entry in the
# upstream's journal.
journal_field() {
  grep "\"id\":\"$2\"" "$run/$1.journal" | head -n 1 |
    sed -E "s/.*\"$3\":\"?([^,\"}]*).*/\1/"
}

# Sends one request through a daemon and prints which VM served it, with the
# key's shard and epoch.
show_request() {
  local via=$1 address=$2 method=$3 target=$4 headers=$run/headers status id vm
  status=$(curl -s -o "$run/body" -D "$headers" -w '%{http_code}' -X "$method" \
    -H 'Authorization: Bearer guild-key-1' "http://$address$target") || true
  id=$(header "$headers" x-radishroad-request-id)
  vm=$(header "$headers" x-upstream-vm)
  if [ "$status" != 200 ] || [ -z "$vm" ]; then
    echo "$method $target through $via: status $status $(cat "$run/body")" >&2
    return 1
  fi
  printf '%-5s %-28s %-10s %-10s %6s %6s\n' "$method" "$target" "$via" "$vm" \
    "$(journal_field "$vm" "$id" shard)" "$(journal_field "$vm" "$id" epoch)"
}

# Sends each request for a key through two different daemons.
show_requests() {
  local role vm caller daemons=() i key target
  while IFS=$'\t' read -r role _ _ vm _ _ caller _; do
    [ "$role" != daemon ] || daemons+=("$vm $caller")
  done <"$run/fleet.tsv"
  printf '%-5s %-28s %-10s %-10s %6s %6s\n' "" target through "served by" \
    shard epoch
  for i in 0 1 2 3 4 5; do
    key=template-$((i + 1))
    for target in "GET /catalog/$key/page" "POST /catalog/$key/purchase" \
      "GET /library/$key"; do
      # shellcheck disable=SC2086
      show_request ${daemons[i % ${#daemons[@]}]} $target
      # shellcheck disable=SC2086
      show_request ${daemons[(i + 3) % ${#daemons[@]}]} $target
    done
  done
}

scripts/install.sh
scripts/build.sh
trap '[ $keep -eq 1 ] || stop_fleet' EXIT
start_all
export RADISHROAD_LOG_ADDRESS=$log_address
"$build/src/main/radishroad" config publish examples/guild
wait_for 20 "the daemons to serve" all_ready
"$build/src/main/radishroad" status
echo
show_requests
echo
"$build/src/main/radishroad" owners
if [ $keep -eq 1 ]; then
  write_json
  echo "the fleet runs on; see $run/fleet.json"
fi
