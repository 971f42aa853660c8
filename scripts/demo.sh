#!/usr/bin/env bash
# Starts a fleet with stand-ins on free loopback ports, replays a trace against
# it and stops it. The last line of output is "verdict: pass" or "verdict: fail".
# Usage: scripts/demo.sh [TRACE] [OUT]
# With HOLD=yes it replays no trace, writes the addresses to OUT/addresses.sh
# and keeps the fleet running until the script is interrupted.
set -uo pipefail
cd "$(dirname "$0")/.."
trace=${1:-traces/shrestha.jsonl}
out=${2:-out/demo}
layout=$out/layout
stop_seconds=10

fail() {
  echo "demo: $1" >&2
  echo "verdict: fail"
  exit 1
}

start_all() {
  local name kind address pid_file log_file binary
  local -a args
  while IFS=$'\t' read -r name kind address pid_file log_file binary rest; do
    IFS=$'\t' read -r -a args <<<"$rest"
    "$binary" "${args[@]}" >"$log_file" 2>&1 &
    echo $! >"$pid_file"
    case $kind in
    key-value) key_value=$address ;;
    host-list) host_list=$address ;;
    directory) directory=$address ;;
    esac
  done < <(bin/vt-replay processes --layout "$layout")
}

# Stops only the processes that this script has started. SIGCONT comes first,
# because a stopped process does not handle SIGTERM.
stop_all() {
  local pid
  for pid in $(jobs -p); do
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
  done
  for ((i = 0; i < stop_seconds * 10; i++)); do
    [ -n "$(jobs -pr)" ] || break
    sleep 0.1
  done
  for pid in $(jobs -pr); do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}

rm -rf "$out"
mkdir -p "$out"
bin/vt-replay layout --trace "$trace" --out "$layout" --binaries bin || fail "cannot write the layout"
trap stop_all EXIT
start_all
applied=no
for _ in $(seq 50); do
  if bin/vtctl apply "$layout/declarations" --key-value "http://$key_value" >"$out/apply.log" 2>&1; then
    applied=yes
    break
  fi
  sleep 0.1
done
[ $applied = yes ] || fail "declarations not applied, see $out/apply.log"
bin/vt-replay ready --layout "$layout" || fail "fleet not ready, see $layout/log"
if [ "${HOLD:-no}" = yes ]; then
  printf 'KEY_VALUE=http://%s\nHOST_LIST=http://%s\nDIRECTORY=http://%s\nROUTERS=%s\n' \
    "$key_value" "$host_list" "$directory" \
    "$(awk '/admin:/ {print $2}' "$layout"/settings/router-*.yaml | paste -sd,)" >"$out/addresses.sh"
  echo "fleet is up: . $out/addresses.sh; interrupt to stop it"
  trap 'exit 0' INT TERM
  while :; do sleep 1; done
fi
bin/vt-replay run --layout "$layout" --trace "$trace" --out "$out"
status=$?
stop_all
if [ $status -eq 0 ]; then
  echo "verdict: pass"
else
  echo "verdict: fail"
  status=1
fi
exit $status
