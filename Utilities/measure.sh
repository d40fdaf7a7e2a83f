#!/usr/bin/env bash
# Measures one scenario on a fleet that it starts on loopback, with its baseline
# in the same run. Keeps the JSON reports in build/measure/SCENARIO/ and prints
# a table.
#   Utilities/measure.sh SCENARIO
#   SCENARIO: online-tail batch-throughput limits faults cost propagation capacity
#   ROUNDS=N  repetitions, alternating   LENGTH=S  seconds of each run
#   BASE_PORT=N  first port
#   HEADROOM=N  slots kept for online requests (batch-throughput)
set -uo pipefail
cd "$(dirname "$0")/.."
. Utilities/fleet.sh

scenario="${1:-}"
rounds="${ROUNDS:-2}"
length="${LENGTH:-12}"
case "$scenario" in
  online-tail | batch-throughput | limits | faults | cost | propagation | capacity) ;;
  *) sed -n '2,10p' "$0"; exit 2 ;;
esac

reports="build/measure/$scenario"
rm -rf "$reports"
mkdir -p "$reports/fleet"
fleet_init "$reports/fleet" "${BASE_PORT:-18000}"
trap fleet_stop_all EXIT
trap 'exit 130' INT TERM

bench="$FLEET_BIN/cowslip-bench"
cowslip="$FLEET_BIN/cowslip"
declarations="$reports/declarations"
keys_file="$reports/keys.json"
route="bench.chat"

# write_declarations "ORG:RATE:BURST"...  one service with one route.
write_declarations() {
  local entry list="" org rate burst
  mkdir -p "$declarations"
  for entry in "$@"; do
    IFS=: read -r org rate burst <<<"$entry"
    list+="${list:+, }{\"id\": \"$org\", \"rate\": $rate, \"burst\": $burst}"
  done
  cat >"$declarations/organisations.json" <<END
{"kind": "organisations", "set": "bench", "organisations": [$list]}
END
  cat >"$declarations/service.json" <<'END'
{"kind": "service", "service": "bench", "routes": [
  {"name": "chat", "path": "/v1/chat/completions", "methods": ["POST"],
   "allow": "all-organisations", "idempotent": true, "timeout_ms": 60000,
   "batchable": true}]}
END
}

# publish_and_add_keys ORG...  writes the keys file for cowslip-bench.
publish_and_add_keys() {
  local org key list=""
  "$cowslip" publish --who measure --platform "$FLEET_PLATFORM" "$declarations" >/dev/null || exit 1
  for org in "$@"; do
    key="$("$cowslip" keys add --who measure --platform "$FLEET_PLATFORM" "$org" | sed -n 's/^Key: //p')"
    [ -n "$key" ] || { echo "measure: no key for $org." >&2; exit 1; }
    list+="${list:+, }\"$org\": \"$key\""
  done
  echo "{$list}" >"$keys_file"
}

# start_fleet ENTRIES ENGINES SLOTS HEADROOM GATE [ENGINE OPTION...]
start_fleet() {
  local entries="$1" engines="$2" slots="$3" headroom="$4" gate="$5" i
  shift 5
  fleet_platform || exit 1
  for ((i = 1; i <= engines; i++)); do fleet_engine "$i" --slots "$slots" "$@" || exit 1; done
  for ((i = 1; i <= entries; i++)); do fleet_entry "$i" zone-a || exit 1; done
  for ((i = 1; i <= engines; i++)); do
    fleet_side "$i" zone-a bench engine "$slots" "$headroom" "$gate" || exit 1
  done
  fleet_publish_vms || exit 1
  FLEET_ENTRIES="$entries"
  FLEET_ENGINES="$engines"
}

# wait_ready  until every entry answers the first organisation of the keys file.
wait_ready() {
  local key i
  key="$(python3 -c 'import json, sys; print(next(iter(json.load(open(sys.argv[1])).values())))' "$keys_file")"
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do
    fleet_wait_answer "$i" /v1/chat/completions "$key" \
      '{"messages": [{"role": "user", "content": "ready"}], "max_tokens": 1}' || exit 1
  done
}

# restart_sides SLOTS HEADROOM GATE
restart_sides() {
  local i
  for ((i = 1; i <= FLEET_ENGINES; i++)); do fleet_stop "side$i"; done
  for ((i = 1; i <= FLEET_ENGINES; i++)); do
    fleet_side "$i" zone-a bench engine "$1" "$2" "$3" || exit 1
  done
  wait_ready
}

entry_targets() {
  local i
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do printf -- '--target 127.0.0.1:%d ' "$(fleet_entry_port "$i")"; done
}

# run_bench NAME OPTION...  keeps the report as NAME.json.
run_bench() {
  local name="$1"
  shift
  echo "measure: $name" >&2
  "$bench" "$@" >"$reports/$name.json" 2>"$reports/$name.txt"
  tail -n 1 "$reports/$name.txt" | cut -c1-160 >&2
}

table() { python3 Utilities/measure_table.py "$scenario" "$reports" "$@"; }

engine_tokens() {
  local i sum=0 tokens
  for ((i = 1; i <= FLEET_ENGINES; i++)); do
    tokens="$(curl -s "http://127.0.0.1:$(fleet_engine_port "$i")/stats" |
      python3 -c 'import json, sys; print(json.load(sys.stdin)["tokens"])')"
    sum=$((sum + tokens))
  done
  echo "$sum"
}

store_calls() { curl -s "http://$FLEET_PLATFORM/stats"; }

platform_faults() {
  curl -s -o /dev/null -X PUT -d "$1" "http://$FLEET_PLATFORM/faults"
}

. "Utilities/measure/$scenario.sh"
