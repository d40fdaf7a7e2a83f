# Online tail latency without batch work, and beside it under each gate.
write_declarations a:2000:2000 b:2000:2000
start_fleet 2 3 8 2 preempt
publish_and_add_keys a b
wait_ready

online=($(entry_targets) --keys "$keys_file" --rate 20 --bursts 4:1:3 --stream
  --max-tokens 24 --warm-up 2 --seconds "$length")
batch=(--batch-items 4000 --batch-jobs 2 --batch-max-tokens 100
  --batch-route "$route" --batch-cancel)
for ((round = 1; round <= rounds; round++)); do
  run_bench "$round-no-batch" "${online[@]}" --seed "$round"
  for gate in none headroom preempt; do
    restart_sides 8 2 "$gate"
    run_bench "$round-$gate" "${online[@]}" --seed "$round" "${batch[@]}"
  done
done
table
