#!/usr/bin/env bash
# Serves one example directory with stand-ins on loopback and sends a request to
# each kind of route: keyed chat, open GET, and an order that may not be repeated.
#   Utilities/serve-example.sh namu-grain-labs|apav     BASE_PORT=N, BIN=build/bin
set -uo pipefail
cd "$(dirname "$0")/.."
. Utilities/fleet.sh

case "${1:-}" in
  namu-grain-labs)
    chat=catalogue-assistant register=flitch-register organisation=hanok-interiors
    open_path=/v1/species order_path=/v1/reservations ;;
  apav)
    chat=count-assistant register=station-register organisation=aforos-lima-norte
    open_path=/v1/stations order_path=/v1/count-sheets ;;
  *) sed -n '2,4p' "$0"; exit 2 ;;
esac

FLEET_BIN="${BIN:-build/bin}"
fleet_init "$(mktemp -d -p "$(dirname "$FLEET_BIN")" serve-example.XXXXXX)" "${BASE_PORT:-24000}"
trap fleet_stop_all EXIT
trap 'exit 130' INT TERM
fleet_platform && fleet_engine 1 --slots 4 && fleet_plain 2 && fleet_entry 1 zone-a &&
  fleet_side 1 zone-a "$chat" engine 4 0 preempt && fleet_side 2 zone-a "$register" plain 4 0 preempt &&
  fleet_publish_vms || exit 1
"$FLEET_BIN/cowslip" publish --who example --platform "$FLEET_PLATFORM" "examples/$1" >/dev/null || exit 1
key="$("$FLEET_BIN/cowslip" keys add --who example --platform "$FLEET_PLATFORM" "$organisation" | sed -n 's/^Key: //p')"
entry="http://127.0.0.1:$(fleet_entry_port 1)"
question='{"messages": [{"role": "user", "content": "hello"}], "max_tokens": 2}'
fleet_wait_answer 1 /v1/chat/completions "$key" "$question" || exit 1

failed=0
# expect STATUS NAME CURL_OPTION...
expect() {
  local want="$1" name="$2" got
  shift 2
  got="$(curl -s -o /dev/null -w '%{http_code}' "$@")"
  printf '%-28s %s (expected %s)\n' "$name" "$got" "$want"
  [ "$got" = "$want" ] || failed=1
}
expect 200 "chat" -H "Authorization: Bearer $key" -d "$question" "$entry/v1/chat/completions"
expect 401 "chat without a key" -d "$question" "$entry/v1/chat/completions"
expect 200 "open route" "$entry$open_path"
expect 200 "order" -H "Authorization: Bearer $key" -H "Idempotency-Key: 1" -d '{}' "$entry$order_path"
expect 409 "order sent again" -H "Authorization: Bearer $key" -H "Idempotency-Key: 1" -d '{}' "$entry$order_path"
exit "$failed"
