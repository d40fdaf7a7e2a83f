# The same load with and without faults: cut, refused, lost and doubled.
write_declarations a:2000:2000 b:2000:2000
start_fleet 3 3 8 1 preempt
publish_and_add_keys a b
wait_ready

# provoke FAULT  runs beside the load; the fault lasts from 4 s to 9 s.
provoke() {
  sleep 4
  case "$1" in
    none) return ;;
    side-killed) kill -KILL "${FLEET_PIDS[side1]}" ;;
    side-drained) kill -TERM "${FLEET_PIDS[side1]}" ;;
    entry-killed) kill -KILL "${FLEET_PIDS[entry1]}" ;;
    entry-drained) kill -TERM "${FLEET_PIDS[entry1]}" ;;
    engine-killed) kill -KILL "${FLEET_PIDS[engine1]}" ;;
    store-down) platform_faults '{"down": true}' ;;
    store-slow) platform_faults '{"slow_ms": 300}' ;;
    store-lossy) platform_faults '{"lose_answer_per_mille": 200, "fail_per_mille": 200, "seed": 7}' ;;
  esac
  sleep 5
  platform_faults '{"down": false, "slow_ms": 0, "lose_answer_per_mille": 0, "fail_per_mille": 0}'
}

# restart FAULT  brings back what the fault ended.
restart() {
  case "$1" in
    side-*) fleet_stop side1; fleet_side 1 zone-a bench engine 8 1 preempt ;;
    entry-*) fleet_stop entry1; fleet_entry 1 zone-a ;;
    engine-*) fleet_stop engine1; fleet_engine 1 --slots 8 ;;
  esac
  wait_ready
  sleep 2
}

for fault in none side-killed side-drained entry-killed entry-drained \
  engine-killed store-down store-slow store-lossy; do
  provoke "$fault" &
  provoker=$!
  seed=$((${seed:-100} + 1))
  run_bench "$fault" $(entry_targets) --keys "$keys_file" --rate 15 --stream \
    --max-tokens 24 --seconds "$length" --seed "$seed" --batch-items 300 \
    --batch-jobs 2 --batch-max-tokens 40 --batch-route "$route" --batch-wait 90
  wait "$provoker"
  restart "$fault"
done
table
