# Functions to run a small deployment on loopback; sourced by scripts/demo and
# by the process tests. Everything started is stopped by its process id.

# start_deployment needs: run (a folder), bin (build folder).
pids=()
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}

# wait_for COMMAND...: until it succeeds, 15 s at most.
wait_for() {
  local i
  for i in $(seq 150); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

port_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

start_log() { # PORT
  "$bin/standins/standin_log" --port="$1" & pids+=($!)
  wait_for port_open "$1"
}

make_keys() {
  mkdir -p "$run"
  rm -f "$run"/op1.key "$run"/op2.key "$run"/deployment.key
  op1=$("$bin/almondlink/almondlink" key make "$run/op1.key")
  op2=$("$bin/almondlink/almondlink" key make "$run/op2.key")
  "$bin/almondlink/almondlink" key make "$run/deployment.key" >/dev/null
}

# write_settings NODE DEPLOYMENT ZONE BASE_PORT SERVICE SLOTS LOG_PORT SEED_PORT
write_settings() {
  cat >"$run/$1.ini" <<INI
[node]
id = $1
deployment = $2
zone = $3
caller_address = 127.0.0.1:$4
peer_address = 127.0.0.1:$(($4 + 1))
admin_address = 127.0.0.1:$(($4 + 2))
[target]
service = $5
address = 127.0.0.1:$(($4 + 3))
slots = $6
slow_start = 200ms
[mesh]
key_file = $run/deployment.key
seeds = 127.0.0.1:$8
probe_interval = 200ms
[log]
address = 127.0.0.1:$7
poll_interval = 500ms
[bundle]
operators = $op1 $op2
signatures = 2
[metering]
interval = 1s
[logging]
level = warning
INI
}

# start_instance NODE DEPLOYMENT ZONE BASE_PORT SERVICE SLOTS LOG_PORT SEED_PORT
#   WORK_MS CALLS
start_instance() {
  write_settings "$1" "$2" "$3" "$4" "$5" "$6" "$7" "$8"
  "$bin/standins/standin_target" --port=$(($4 + 3)) --service="$5" \
    --node_port="$4" --slots="$6" --work_ms="$9" --calls="${10}" & pids+=($!)
  "$bin/almondlinkd/almondlinkd" --config "$run/$1.ini" >"$run/$1.log" 2>&1 & pids+=($!)
}

# release_bundle FILE DEPLOYMENT LOG_PORT
release_bundle() {
  local tool="$bin/almondlink/almondlink"
  local flags=(--log="127.0.0.1:$3" --deployment="$2" --operators="$op1 $op2"
    --deployment_key="$run/deployment.key")
  local proposal
  proposal=$("$tool" bundle propose "$1" "${flags[@]}" --key="$run/op1.key")
  "$tool" bundle sign "$proposal" "${flags[@]}" --key="$run/op2.key"
  "$tool" bundle release "$proposal" "${flags[@]}" --key="$run/op1.key" --wait
}
