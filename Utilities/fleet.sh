# Functions that start and stop a fleet on loopback; sourced by quick-start.sh
# and measure.sh. Every process is stopped by the id recorded when it started.
#
#   fleet_init FOLDER BASE_PORT
#   fleet_platform | fleet_engine N ... | fleet_plain N | fleet_side N ...
#   fleet_entry N ZONE | fleet_publish_vms | fleet_stop NAME | fleet_stop_all

fleet_init() {
  FLEET_DIR="$1"
  FLEET_BASE_PORT="$2"
  FLEET_BIN="${FLEET_BIN:-$PWD/build/bin}"
  FLEET_REGION="${FLEET_REGION:-seoul}"
  declare -gA FLEET_PIDS=()
  declare -gA FLEET_VMS=()
  declare -gA FLEET_EXITS=()
  FLEET_ORDER=()
  mkdir -p "$FLEET_DIR"
  FLEET_PLATFORM="127.0.0.1:$FLEET_BASE_PORT"
}

fleet_engine_port() { echo $((FLEET_BASE_PORT + 100 + $1)); }
fleet_plain_port() { echo $((FLEET_BASE_PORT + 150 + $1)); }
fleet_side_link_port() { echo $((FLEET_BASE_PORT + 200 + $1)); }
fleet_side_admin_port() { echo $((FLEET_BASE_PORT + 300 + $1)); }
fleet_entry_port() { echo $((FLEET_BASE_PORT + 400 + $1)); }
fleet_entry_link_port() { echo $((FLEET_BASE_PORT + 500 + $1)); }
fleet_entry_admin_port() { echo $((FLEET_BASE_PORT + 600 + $1)); }

# fleet_start NAME COMMAND...  runs it with its log in the fleet's folder.
fleet_start() {
  local name="$1"
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>>"$FLEET_DIR/$name.log" &
  FLEET_PIDS[$name]=$!
  FLEET_ORDER+=("$name")
}

# fleet_wait_http URL [SECONDS]  waits until the page answers with success.
fleet_wait_http() {
  local attempts=$((${2:-15} * 10))
  while ! curl -sf -o /dev/null --max-time 2 "$1"; do
    attempts=$((attempts - 1))
    if [ "$attempts" -le 0 ]; then
      echo "fleet: $1 did not answer. See the logs in $FLEET_DIR." >&2
      return 1
    fi
    sleep 0.1
  done
}

fleet_platform() {
  fleet_start platform "$FLEET_BIN/standin-platform" --port "$FLEET_BASE_PORT" "$@"
  fleet_wait_http "http://$FLEET_PLATFORM/stats"
}

# fleet_engine N [OPTION...]
fleet_engine() {
  local number="$1" port
  shift
  port="$(fleet_engine_port "$number")"
  fleet_start "engine$number" "$FLEET_BIN/standin-engine" --port "$port" "$@"
  fleet_wait_http "http://127.0.0.1:$port/load"
}

# fleet_plain N
fleet_plain() {
  local port
  port="$(fleet_plain_port "$1")"
  fleet_start "plain$1" "$FLEET_BIN/standin-plain" --port "$port"
  fleet_wait_http "http://127.0.0.1:$port/received"
}

fleet_endpoint() { printf '{"address": "127.0.0.1", "port": %d}' "$1"; }

# fleet_vm VM ROLE ZONE SERVICE LINK_PORT LEAVING  sets one entry of the VM list.
fleet_vm() {
  FLEET_VMS[$1]=$(printf '{"vm": "%s", "role": "%s", "region": "%s", "zone": "%s", "service": "%s", "link_address": "127.0.0.1", "link_port": %d, "leaving": %s}' \
    "$1" "$2" "$FLEET_REGION" "$3" "$4" "$5" "$6")
}

# fleet_publish_vms  gives the platform the VM list.
fleet_publish_vms() {
  local list="" name
  for name in "${!FLEET_VMS[@]}"; do
    list+="${list:+, }${FLEET_VMS[$name]}"
  done
  curl -sf -o /dev/null -X PUT -d "{\"vms\": [$list]}" "http://$FLEET_PLATFORM/vms"
}

# fleet_side N ZONE SERVICE KIND SLOTS HEADROOM GATE  KIND is engine or plain.
fleet_side() {
  local number="$1" zone="$2" service="$3" kind="$4" slots="$5" headroom="$6" gate="$7"
  local settings="$FLEET_DIR/side$number.json" engine_port
  engine_port="$(fleet_engine_port "$number")"
  if [ "$kind" = plain ]; then
    engine_port="$(fleet_plain_port "$number")"
  fi
  cat >"$settings" <<END
{
  "vm": "backend-$number", "region": "$FLEET_REGION", "zone": "$zone",
  "service": "$service", "kind": "$kind",
  "link": $(fleet_endpoint "$(fleet_side_link_port "$number")"),
  "admin": $(fleet_endpoint "$(fleet_side_admin_port "$number")"),
  "engine": $(fleet_endpoint "$engine_port"),
  "platform": $(fleet_endpoint "$FLEET_BASE_PORT"),
  "slots": $slots, "headroom": $headroom, "gate": "$gate"
}
END
  fleet_start "side$number" "$FLEET_BIN/cowslip-side" --settings "$settings"
  fleet_vm "backend-$number" backend "$zone" "$service" "$(fleet_side_link_port "$number")" false
  fleet_wait_http "http://127.0.0.1:$(fleet_side_admin_port "$number")/healthz"
}

# fleet_entry N ZONE
fleet_entry() {
  local number="$1" zone="$2" settings="$FLEET_DIR/entry$1.json"
  cat >"$settings" <<END
{
  "vm": "entry-$number", "region": "$FLEET_REGION", "zone": "$zone",
  "http": $(fleet_endpoint "$(fleet_entry_port "$number")"),
  "admin": $(fleet_endpoint "$(fleet_entry_admin_port "$number")"),
  "link": $(fleet_endpoint "$(fleet_entry_link_port "$number")"),
  "platform": $(fleet_endpoint "$FLEET_BASE_PORT")
}
END
  fleet_start "entry$number" "$FLEET_BIN/cowslip-entry" --settings "$settings"
  fleet_vm "entry-$number" entry "$zone" "" "$(fleet_entry_link_port "$number")" false
  fleet_wait_http "http://127.0.0.1:$(fleet_entry_admin_port "$number")/healthz"
}

# fleet_stop NAME [SIGNAL]  ends one process and notes its exit code.
fleet_stop() {
  local name="$1" signal="${2:-TERM}" pid="${FLEET_PIDS[$1]:-}" left=300
  [ -n "$pid" ] || return 0
  kill "-$signal" "$pid" 2>/dev/null
  while kill -0 "$pid" 2>/dev/null && [ "$left" -gt 0 ]; do
    left=$((left - 1))
    sleep 0.1
  done
  if [ "$left" -eq 0 ]; then
    echo "fleet: $name did not stop within 30 s; it is ended by force." >&2
    kill -KILL "$pid" 2>/dev/null
  fi
  wait "$pid" 2>/dev/null
  FLEET_EXITS[$name]=$?
  unset "FLEET_PIDS[$name]"
}

# fleet_stop_all  stops the entries first, the platform last.
fleet_stop_all() {
  local i name
  for ((i = ${#FLEET_ORDER[@]} - 1; i >= 0; i--)); do
    name="${FLEET_ORDER[$i]}"
    fleet_stop "$name"
  done
  FLEET_ORDER=()
}

# fleet_wait_answer N PATH KEY BODY [SECONDS]  until entry N answers 200.
fleet_wait_answer() {
  local url attempts=$((${5:-20} * 5)) status=""
  url="http://127.0.0.1:$(fleet_entry_port "$1")$2"
  while [ "$attempts" -gt 0 ]; do
    status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 10 \
      -H "Authorization: Bearer $3" -d "$4" "$url")
    [ "$status" = 200 ] && return 0
    attempts=$((attempts - 1))
    sleep 0.2
  done
  echo "fleet: $url still answers $status. See the logs in $FLEET_DIR." >&2
  return 1
}

# fleet_cpu_ticks NAME  user and system time of a process, in clock ticks.
fleet_cpu_ticks() {
  awk '{print $14 + $15}' "/proc/${FLEET_PIDS[$1]}/stat"
}

# fleet_memory_kb NAME  resident memory of a process.
fleet_memory_kb() {
  awk '/^VmRSS/ {print $2}' "/proc/${FLEET_PIDS[$1]}/status"
}
