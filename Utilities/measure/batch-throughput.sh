# Tokens a second of batch work against what the engines give when fed directly.
write_declarations a:5000:5000 b:5000:5000
start_fleet 2 3 8 1 preempt
publish_and_add_keys a b
wait_ready

engine_targets() {
  local i
  for ((i = 1; i <= FLEET_ENGINES; i++)); do printf -- '--target 127.0.0.1:%d ' "$(fleet_engine_port "$i")"; done
}

# measured NAME OPTION...  notes the tokens a second between 3 s and the end.
measured() {
  local name="$1" before after
  shift
  run_bench "$name" "$@" &
  local pid=$!
  sleep 3
  before="$(engine_tokens)"
  sleep "$length"
  after="$(engine_tokens)"
  echo "{\"tokens_per_second\": $(((after - before) / length))}" >"$reports/$name.rate"
  wait "$pid"
}

run_length=$((length + 4))
batch=(--batch-items 4000 --batch-jobs 2 --batch-max-tokens 60
  --batch-route "$route" --batch-cancel --keys "$keys_file")
for ((round = 1; round <= rounds; round++)); do
  measured "$round-direct" $(engine_targets) --rate 60 --max-tokens 60 \
    --timeout 5 --seconds "$run_length"
  sleep 1
  measured "$round-idle" $(entry_targets) "${batch[@]}" --rate 0.01 --seconds "$run_length"
  sleep 1
  measured "$round-online" $(entry_targets) "${batch[@]}" --rate 15 --bursts 4:1:3 \
    --stream --max-tokens 24 --seconds "$run_length"
  sleep 1
done
table
