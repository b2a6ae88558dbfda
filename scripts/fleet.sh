#!/usr/bin/env bash
# Functions that start and stop a small fleet on loopback; sourced by
# quickstart.sh and by the scripts in benchmark/. Processes are
# identified by their pids in $run/fleet.tsv, which has one line for each, with
# the fields: role, pid, program, VM, zone, service, caller address, operator
# address, peer address, address of the upstream or of the log, journal.
run=${RADISHROAD_RUN_DIR:-run}
net=${RADISHROAD_NET:-127.77.0}
build=${BUILD_DIR:-build}
log_address="$net.1:9500"
# shellcheck disable=SC2034  # used by the scripts that source this one
zones=(nashua worcester burlington)
stop_seconds=15

# Starts a program that outlives this shell; prints its pid.
launch() {
  local output=$1
  shift
  setsid nohup "$@" >"$output" 2>&1 </dev/null &
  echo $!
}

record() {
  (IFS=$'\t' && echo "$*" >>"$run/fleet.tsv")
}

start_log() {
  local journal=$run/log.journal pid
  pid=$(launch "$run/log.out" "$build/tools/rr-logd" \
    --address "$log_address" --journal "$journal")
  record log "$pid" rr-logd - - - - - - "$log_address" "$journal"
}

# start_vm NUMBER NAME ZONE SERVICE [UPSTREAM-FLAG...]
start_vm() {
  local ip="$net.$(($1 + 1))" vm=$2 zone=$3 service=$4 journal pid fence=()
  shift 4
  journal=$run/$vm.journal
  # As configured in examples/guild: of the two services, catalog checks fences.
  [ "$service" = catalog ] && fence=(--check-fence)
  pid=$(launch "$run/$vm.upstream.out" "$build/tools/rr-upstream" \
    --address "$ip:9000" --vm "$vm" --journal "$journal" "${fence[@]}" "$@")
  record upstream "$pid" rr-upstream "$vm" "$zone" "$service" - - - \
    "$ip:9000" "$journal"
  pid=$(launch "$run/$vm.daemon.out" "$build/src/main/radishroadd" \
    --vm "$vm" --zone "$zone" --service "$service" \
    --caller-address "$ip:8080" --peer-address "$ip:7400" \
    --operator-address "$ip:8090" --upstream-address "$ip:9000" \
    --log-address "$log_address")
  record daemon "$pid" radishroadd "$vm" "$zone" "$service" "$ip:8080" \
    "$ip:8090" "$ip:7400" "$ip:9000" -
}

# wait_for SECONDS WHAT COMMAND...: repeats a command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1)) what=$2
  shift 2
  until "$@"; do
    if [ $SECONDS -ge "$deadline" ]; then
      echo "gave up waiting for $what" >&2
      return 1
    fi
    sleep 0.1
  done
}

answers() {
  curl -sf -o /dev/null --max-time 2 "$1"
}

all_ready() {
  local role operators
  while IFS=$'\t' read -r role _ _ _ _ _ _ operators _; do
    [ "$role" != daemon ] || answers "http://$operators/ready" || return 1
  done <"$run/fleet.tsv"
}

# is_ours PID PROGRAM: true if the pid still belongs to the program that was
# started.
is_ours() {
  local name
  name=$(cat "/proc/$1/comm" 2>/dev/null) && [ "$name" = "$2" ]
}

none_left() {
  local pid program
  while IFS=$'\t' read -r _ pid program _; do
    is_ours "$pid" "$program" && return 1
  done <"$run/fleet.tsv"
  return 0
}

signal_role() {
  local signal=$1 role=$2 each pid program
  while IFS=$'\t' read -r each pid program _; do
    if [ "$each" = "$role" ] && is_ours "$pid" "$program"; then
      kill "-$signal" "$pid" 2>/dev/null
    fi
  done <"$run/fleet.tsv"
}

# Stops all processes in fleet.tsv by pid. SIGCONT lets frozen processes handle
# the SIGTERM.
stop_fleet() {
  [ -f "$run/fleet.tsv" ] || return 0
  local role
  for role in daemon upstream log; do
    signal_role TERM "$role"
    signal_role CONT "$role"
  done
  wait_for "$stop_seconds" "the fleet to stop" none_left ||
    for role in daemon upstream log; do
      signal_role KILL "$role"
    done
  rm -f "$run/fleet.tsv" "$run/fleet.json"
}

# Writes fleet.json from fleet.tsv.
write_json() {
  local role pid program vm zone service caller operators peer address journal
  local first=1
  {
    echo '{'
    echo '  "caller_keys": ["guild-key-1", "guild-key-2", "guild-key-3"],'
    echo "  \"log_address\": \"$log_address\","
    echo '  "processes": ['
    while IFS=$'\t' read -r role pid program vm zone service caller operators \
      peer address journal; do
      [ $first -eq 1 ] || echo ','
      first=0
      printf '    {"role": "%s", "pid": %s, "program": "%s"' \
        "$role" "$pid" "$program"
      [ "$vm" = - ] || printf ', "vm": "%s", "zone": "%s", "service": "%s"' \
        "$vm" "$zone" "$service"
      [ "$caller" = - ] || printf ', "caller_address": "%s", %s, %s' \
        "$caller" "\"operator_address\": \"$operators\"" \
        "\"peer_address\": \"$peer\""
      case $role in
      daemon) printf ', "upstream_address": "%s"' "$address" ;;
      *) printf ', "address": "%s"' "$address" ;;
      esac
      [ "$journal" = - ] || printf ', "journal": "%s"' "$PWD/$journal"
      printf '}'
    done <"$run/fleet.tsv"
    printf '\n  ]\n}\n'
  } >"$run/fleet.json"
}
