# What an entry and a side process add to a direct call to the engine.
write_declarations a:100000:100000
start_fleet 1 1 500 1 preempt --token-us 1000
publish_and_add_keys a
wait_ready

call=(--keys "$keys_file" --rate 100 --max-tokens 1 --seconds "$length")
for ((round = 1; round <= rounds; round++)); do
  run_bench "$round-direct" --target "127.0.0.1:$(fleet_engine_port 1)" "${call[@]}"
  for name in entry1 side1; do
    fleet_cpu_ticks "$name" >"$reports/$round-$name.before"
  done
  run_bench "$round-fleet" $(entry_targets) "${call[@]}"
  for name in entry1 side1; do
    fleet_cpu_ticks "$name" >"$reports/$round-$name.after"
  done
done

# Memory: 400 streams open at once, each of 2000 tokens.
for name in entry1 side1; do
  fleet_memory_kb "$name" >"$reports/$name.memory-before"
done
run_bench streams $(entry_targets) --keys "$keys_file" --rate 400 --stream \
  --max-tokens 2000 --seconds 1 &
streams=$!
sleep 2.5
for name in entry1 side1; do
  fleet_memory_kb "$name" >"$reports/$name.memory-after"
done
curl -s "http://127.0.0.1:$(fleet_engine_port 1)/stats" >"$reports/streams.stats"
wait "$streams"
table "$(getconf CLK_TCK)"
