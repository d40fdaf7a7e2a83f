# Seconds from `publish` and from `keys withdraw` to force on all entries, and
# the store calls of each.
write_declarations a:100:100
start_fleet 4 2 8 1 preempt
publish_and_add_keys a
wait_ready
sleep 2

now_ms() { date +%s%3N; }

# in_force_everywhere VERSION
in_force_everywhere() {
  local i version
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do
    version="$(curl -s "http://127.0.0.1:$(fleet_entry_admin_port "$i")/status" |
      sed -n 's/.*"configuration":\([0-9]*\).*/\1/p')"
    [ "${version:-0}" -ge "$1" ] || return 1
  done
}

# refused_everywhere KEY
refused_everywhere() {
  local i status
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do
    status="$(curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" \
      -d '{"messages": [{"role": "user", "content": "x"}], "max_tokens": 1}' \
      "http://127.0.0.1:$(fleet_entry_port "$i")/v1/chat/completions")"
    [ "$status" = 401 ] || return 1
  done
}

# wait_for SECONDS COMMAND...
wait_for() {
  local end=$(($(date +%s) + $1))
  shift
  until "$@"; do
    [ "$(date +%s)" -lt "$end" ] || { echo "measure: gave up waiting for $*." >&2; return 1; }
    sleep 0.02
  done
}

store_calls >"$reports/idle.before"
sleep "$length"
store_calls >"$reports/idle.after"
echo "$length" >"$reports/idle.seconds"

for ((round = 1; round <= 5 * rounds; round++)); do
  write_declarations "a:$((100 + round)):100"
  store_calls >"$reports/$round-publish.before"
  start="$(now_ms)"
  version="$("$cowslip" publish --who measure --platform "$FLEET_PLATFORM" --json "$declarations" |
    python3 -c 'import json, sys; print(json.load(sys.stdin)["version"])')"
  wait_for 30 in_force_everywhere "$version"
  echo $(($(now_ms) - start)) >"$reports/$round-publish.ms"
  store_calls >"$reports/$round-publish.after"

  key="$("$cowslip" keys add --who measure --platform "$FLEET_PLATFORM" a | sed -n 's/^Key: //p')"
  for ((i = 1; i <= FLEET_ENTRIES; i++)); do
    fleet_wait_answer "$i" /v1/chat/completions "$key" \
      '{"messages": [{"role": "user", "content": "x"}], "max_tokens": 1}'
  done
  store_calls >"$reports/$round-withdraw.before"
  start="$(now_ms)"
  "$cowslip" keys withdraw "$key" --who measure --platform "$FLEET_PLATFORM" >/dev/null
  wait_for 30 refused_everywhere "$key"
  echo $(($(now_ms) - start)) >"$reports/$round-withdraw.ms"
  store_calls >"$reports/$round-withdraw.after"
done
table
