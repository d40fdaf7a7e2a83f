# Refusals inside the rate and admissions over it, against a static split of
# each rate over the entries and against one bucket for all (the ideal).
limits=(large:40:40 middle:10:20 small:2:4 noisy:20:20)
write_declarations "${limits[@]}"
start_fleet 4 3 16 1 preempt --token-us 2000
publish_and_add_keys large middle small noisy
wait_ready
sleep 3

# Offered: 0.8 of its rate by each, and 5 times its rate by one.
offered=(--keys "$keys_file" --rate 141.6 --weight large=32 --weight middle=8
  --weight small=1.6 --weight noisy=100 --max-tokens 1 --seconds "$length")
skewed="$(entry_targets)$(printf -- '--target 127.0.0.1:%d ' \
  "$(fleet_entry_port 1)" "$(fleet_entry_port 1)" "$(fleet_entry_port 1)")"
for ((round = 1; round <= rounds; round++)); do
  run_bench "$round-even" $(entry_targets) "${offered[@]}" --seed "$round" \
    --arrivals "$reports/$round-even.arrivals"
  sleep 5
  run_bench "$round-skewed" $skewed "${offered[@]}" --seed "$round" \
    --arrivals "$reports/$round-skewed.arrivals"
  sleep 5
done
table "$length" "$FLEET_ENTRIES" "${limits[@]}"
