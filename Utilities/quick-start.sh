#!/usr/bin/env bash
# Builds the project, starts a small fleet on loopback with stand-ins for the
# platform, the engines and a plain service, and shows it at work.
#   Utilities/quick-start.sh [--no-install] [--keep] [--base-port N]
#   --no-install   the packages are there already
#   --keep         leave the fleet running until interrupted
set -uo pipefail
cd "$(dirname "$0")/.."

install=1
keep=0
base_port=17000
while [ $# -gt 0 ]; do
  case "$1" in
    --no-install) install=0 ;;
    --keep) keep=1 ;;
    --base-port) base_port="${2:?give --base-port a number}"; shift ;;
    *) sed -n '2,6p' "$0"; exit 2 ;;
  esac
  shift
done

step() { printf '\n== %s\n' "$*"; }
fail() { printf 'quick-start: %s\n' "$*" >&2; failed=1; exit 1; }

if [ "$install" = 1 ]; then
  step "Installing packages"
  Utilities/install-packages.sh || fail "the packages could not be installed"
fi
step "Building (log: build/build.log)"
Utilities/build.sh standin-platform standin-engine standin-plain \
  cowslip-entry cowslip-side cowslip || fail "the build failed"

. Utilities/fleet.sh
folder="$(mktemp -d -p build quick-start.XXXXXX)"
fleet_init "$folder" "$base_port"
failed=0

stop_everything() {
  trap - EXIT INT TERM
  step "Shutting down with SIGTERM"
  fleet_stop_all
  for name in "${!FLEET_EXITS[@]}"; do
    printf '%-10s exit code %s\n' "$name" "${FLEET_EXITS[$name]}"
    [ "${FLEET_EXITS[$name]}" = 0 ] || failed=1
  done | sort
  for name in "${!FLEET_EXITS[@]}"; do
    [ "${FLEET_EXITS[$name]}" = 0 ] || failed=1
  done
  echo "Logs and settings: $folder"
  [ "$failed" = 0 ] && echo "quick-start: done." || echo "quick-start: FAILED."
  exit "$failed"
}
trap stop_everything EXIT
trap 'exit 0' INT TERM

step "Starting the stand-ins"
fleet_platform || exit 1
fleet_engine 1 --slots 8 || exit 1
fleet_engine 2 --slots 8 || exit 1
fleet_plain 3 || exit 1

step "Starting two entries and three side processes"
fleet_entry 1 seoul-a || exit 1
fleet_entry 2 seoul-b || exit 1
fleet_side 1 seoul-a catalogue-assistant engine 8 1 preempt || exit 1
fleet_side 2 seoul-b catalogue-assistant engine 8 1 preempt || exit 1
fleet_side 3 seoul-a flitch-register plain 8 1 preempt || exit 1
fleet_publish_vms || exit 1

cowslip="build/bin/cowslip"
step "Publishing examples/namu-grain-labs"
"$cowslip" publish --who quick-start --platform "$FLEET_PLATFORM" examples/namu-grain-labs || fail "publish failed"

organisation=hanok-interiors
step "Adding a key for $organisation"
key_text="$("$cowslip" keys add --who quick-start --platform "$FLEET_PLATFORM" "$organisation")" || fail "no key"
key="$(printf '%s\n' "$key_text" | sed -n 's/^Key: //p')"
echo "The key begins with ${key:0:8}; it is shown once."

entry1="http://127.0.0.1:$(fleet_entry_port 1)"
entry2="http://127.0.0.1:$(fleet_entry_port 2)"
question='{"messages": [{"role": "user", "content": "Which veneer matches walnut, quarter cut, oiled?"}], "max_tokens": 8}'
fleet_wait_answer 1 /v1/chat/completions "$key" "$question" || fail "entry 1 serves no answers"
fleet_wait_answer 2 /v1/chat/completions "$key" "$question" || fail "entry 2 serves no answers"

step "One online question"
curl -sS --fail-with-body -H "Authorization: Bearer $key" -d "$question" \
  "$entry1/v1/chat/completions" || fail "no answer"
echo
step "The same question, streaming, through the other entry"
curl -sSN --fail-with-body -H "Authorization: Bearer $key" \
  -d "${question/\"max_tokens\"/\"stream\": true, \"max_tokens\"}" \
  "$entry2/v1/chat/completions" || fail "no stream"
step "A question without a key is refused"
curl -sS -d "$question" "$entry1/v1/chat/completions"
echo

step "A batch job of 20 spec sheets"
lines="$folder/batch.jsonl"
for i in $(seq 20); do
  printf '{"custom_id": "flitch-%d", "body": {"messages": [{"role": "user", "content": "Write the spec sheet of flitch %d"}], "max_tokens": 8}}\n' "$i" "$i"
done >"$lines"
submit() {
  curl -sS --fail-with-body -H "Authorization: Bearer $key" -H "Idempotency-Key: evening-1" \
    -H "X-Batch-Route: catalogue-assistant.chat" --data-binary @"$lines" "$1/v1/batches"
}
job_text="$(submit "$entry1")" || fail "the batch job was refused: $job_text"
echo "$job_text"
job="$(printf '%s' "$job_text" | python3 -c 'import json, sys; print(json.load(sys.stdin)["id"])')" || fail "no job id"
echo "Sent again through the other entry, it is the same job:"
submit "$entry2" || fail "the job could not be sent again"
echo
for _ in $(seq 150); do
  view="$(curl -sS -H "Authorization: Bearer $key" "$entry2/v1/batches/$job")"
  case "$view" in *'"status":"running"'*) sleep 0.2 ;; *) break ;; esac
done
echo "$view"
case "$view" in *'"status":"completed"'*) ;; *) fail "the batch job did not complete" ;; esac
echo "The first results:"
curl -sS --fail-with-body -H "Authorization: Bearer $key" "$entry1/v1/batches/$job/results?limit=2" ||
  fail "no results"
echo

step "cowslip status"
"$cowslip" status --platform "$FLEET_PLATFORM" \
  --entry "127.0.0.1:$(fleet_entry_admin_port 1)" \
  --entry "127.0.0.1:$(fleet_entry_admin_port 2)" || fail "no status"

if [ "$keep" = 1 ]; then
  step "The fleet keeps running; press Ctrl-C to stop it"
  cat <<END
entries    $entry1  $entry2
operators  http://127.0.0.1:$(fleet_entry_admin_port 1)/status  (also /metrics, /readyz)
platform   $FLEET_PLATFORM
key        $key  ($organisation)
folder     $folder
END
  while :; do sleep 1; done
fi
