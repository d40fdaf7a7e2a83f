# Slopes for docs/CAPACITY.md: what one more entry, backend server or
# organisation costs an idle entry and the platform. Each size is a new fleet.
sizes_entries="${SIZES_ENTRIES:-2 4 8}"
sizes_backends="${SIZES_BACKENDS:-2 8 24}"
sizes_organisations="${SIZES_ORGANISATIONS:-1000 4000 13000}"
summary="$reports/slopes.tsv"
printf 'varied\tsize\tentry_kb\tentry_cpu_percent\tlink_out_bytes_s\tlink_in_bytes_s\tstore_calls_s\tside_kb\tside_cpu_percent\n' >"$summary"

entry_metric() {
  curl -s "http://127.0.0.1:$(fleet_entry_admin_port 1)/metrics" | awk -v name="$1" '$1 == name {print $2}'
}
store_total() {
  store_calls | python3 -c 'import json, sys
def add(value):
    return sum(map(add, value.values())) if isinstance(value, dict) else value if isinstance(value, (int, float)) else 0
print(int(add(json.load(sys.stdin).get("calls", {}))))'
}
per_second() { awk -v a="$1" -v b="$2" -v s="$length" 'BEGIN {printf "%.1f", (b - a) / s}'; }
cpu_percent() {
  awk -v a="$1" -v b="$2" -v s="$length" -v hz="$(getconf CLK_TCK)" 'BEGIN {printf "%.2f", 100 * (b - a) / hz / s}'
}

# sample VARIED SIZE  watches the idle fleet for LENGTH seconds.
sample() {
  local out in calls cpu side_cpu
  sleep 5
  out="$(entry_metric cowslip_link_sent_bytes_total)"
  in="$(entry_metric cowslip_link_received_bytes_total)"
  calls="$(store_total)"
  cpu="$(fleet_cpu_ticks entry1)"
  side_cpu="$(fleet_cpu_ticks side1)"
  sleep "$length"
  printf '%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n' "$1" "$2" "$(fleet_memory_kb entry1)" \
    "$(cpu_percent "$cpu" "$(fleet_cpu_ticks entry1)")" \
    "$(per_second "$out" "$(entry_metric cowslip_link_sent_bytes_total)")" \
    "$(per_second "$in" "$(entry_metric cowslip_link_received_bytes_total)")" \
    "$(per_second "$calls" "$(store_total)")" \
    "$(fleet_memory_kb side1)" \
    "$(cpu_percent "$side_cpu" "$(fleet_cpu_ticks side1)")" | tee -a "$summary"
}

# write_organisations N  in sets of 3000, each in a folder of its own: what is
# published at once, and its audit record, must each fit into one object.
write_organisations() {
  local i first last list
  write_declarations
  rm -rf "$declarations"/organisations.json "$reports/sets"
  for ((first = 1; first <= $1; first += 3000)); do
    last=$((first + 2999 < $1 ? first + 2999 : $1))
    list=""
    for ((i = first; i <= last; i++)); do
      list+="${list:+, }{\"id\": \"org-$i\", \"rate\": 2, \"burst\": 4}"
    done
    mkdir -p "$reports/sets/$first"
    echo "{\"kind\": \"organisations\", \"set\": \"bench-$first\", \"organisations\": [$list]}" \
      >"$reports/sets/$first/organisations.json"
  done
}

# run_size VARIED SIZE ENTRIES BACKENDS ORGANISATIONS
run_size() {
  local set
  write_organisations "$5"
  start_fleet "$3" "$4" 8 1 preempt
  for set in "$reports"/sets/*; do
    "$cowslip" publish --who measure --platform "$FLEET_PLATFORM" "$set" >/dev/null || exit 1
  done
  publish_and_add_keys org-1
  wait_ready
  sample "$1" "$2"
  fleet_stop_all
  FLEET_VMS=()
}

head -1 "$summary"
for size in $sizes_entries; do run_size entries "$size" "$size" 2 10; done
for size in $sizes_backends; do run_size backends "$size" 2 "$size" 10; done
for size in $sizes_organisations; do run_size organisations "$size" 2 2 "$size"; done
