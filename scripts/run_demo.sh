#!/usr/bin/env bash
# Starts a small fleet on loopback and exercises it: 3 control replicas, 3 entry
# daemons, 2 fake engines and a fake plain service. Prints a line for each step;
# the exit status is 0 only if every step succeeded.
set -uo pipefail
cd "$(dirname "$0")/.."
echo "building (the first time takes a few minutes)"
scripts/build.sh >build-demo.log 2>&1 || {
  cat build-demo.log >&2
  exit 1
}
rm -f build-demo.log
bin=$PWD/build/bin
work=$(mktemp -d /tmp/sycamorebend-demo-XXXXXX)
declare -A pids
failed=0

# Signals only processes that this script started.
stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

step() {
  if [[ $1 == 0 ]]; then
    printf 'ok      %s\n' "$2"
  else
    printf 'FAILED  %s\n' "$2"
    failed=1
  fi
}

# Retries a command for up to 60 s.
wait_for() {
  local i
  for ((i = 0; i < 300; i++)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  return 1
}

# A port that nothing listens on, below the range of outgoing connections.
next_port=$((12000 + $$ % 15000))
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
}

start() { # NAME PROGRAM SETTINGS
  printf '%s\n' "$3" >"$work/$1.json"
  "$bin/$2" --settings="$work/$1.json" >"$work/$1.log" 2>&1 &
  pids[$1]=$!
}

ready() {
  curl -sf -o /dev/null --max-time 5 "http://$1/readyz"
}

ctl() {
  "$bin/sycamorebend-ctl" "$@" --control="$control_list"
}

controls=() entries=() engines=()
for i in 1 2 3; do free_port; controls+=("127.0.0.1:$port"); done
for i in 1 2 3; do free_port; entries+=("127.0.0.1:$port"); done
for i in 1 2; do free_port; engines+=("127.0.0.1:$port"); done
free_port
service=127.0.0.1:$port
control_list=$(IFS=,; echo "${controls[*]}")
entry_json=$(printf '"%s", ' "${entries[@]}")
entry_json="[${entry_json%, }]"
control_json=$(printf '"%s", ' "${controls[@]}")
control_json="[${control_json%, }]"
replica_json="[{\"id\": 1, \"address\": \"${controls[0]}\"},
  {\"id\": 2, \"address\": \"${controls[1]}\"},
  {\"id\": 3, \"address\": \"${controls[2]}\"}]"

for i in 1 2 3; do
  start "control-$i" sycamorebend-control "{ \"id\": $i,
    \"address\": \"${controls[i - 1]}\", \"failure_domain\": \"fd-$i\",
    \"data_directory\": \"$work/data-$i\", \"replicas\": $replica_json }"
done
for i in 1 2 3; do
  # A graceful stop waits for both times, so they are shorter than the defaults.
  start "entry-$i" sycamorebend-entry "{ \"entry_id\": \"entry-$i\",
    \"address\": \"${entries[i - 1]}\", \"failure_domain\": \"fd-$i\",
    \"configuration_lease_ms\": 3000, \"address_valid_ms\": 1000,
    \"replicas\": $control_json }"
done
for i in 1 2; do
  start "engine-$i" sycamorebend-fake-engine "{ \"server_id\": \"engine-$i\",
    \"address\": \"${engines[i - 1]}\", \"models\": [\"chat-1\"],
    \"labels\": \"model=chat\", \"entry_addresses\": $entry_json }"
done
start service sycamorebend-fake-service "{ \"server_id\": \"orders-1\",
  \"address\": \"$service\", \"labels\": \"app=orders\",
  \"entry_addresses\": $entry_json }"

key=demo-key
key_sha256=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
cat >"$work/fleet.json" <<EOF
{ "tiers": ["urgent", "interactive"],
  "classes": [
    { "name": "chat", "tier": "interactive", "match": "model=chat",
      "servers": "model=chat" },
    { "name": "order", "tier": "urgent", "match": "kind=order",
      "servers": "app=orders", "idempotent": false } ],
  "customers": [
    { "name": "press-hall", "key_sha256": "$key_sha256",
      "tiers": ["urgent", "interactive"] } ],
  "model_labels": { "chat-1": { "model": "chat" } } }
EOF

for address in "${controls[@]}"; do
  wait_for ready "$address" || failed=1
done
step "$failed" "3 control replicas are ready"

wait_for ctl apply "$work/fleet.json" --expected-version=0 --operator=demo \
  --change-id=demo-1
step $? "configuration applied as version 1"

entries_ready=0
for address in "${entries[@]}"; do
  wait_for ready "$address" || entries_ready=1
done
step "$entries_ready" "3 entry daemons are ready"

chat() { # ADDRESS
  curl -sfN --max-time 60 "http://$1/v1/chat/completions" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d '{"model": "chat-1", "stream": true, "max_tokens": 12,
         "messages": [{"role": "user", "content": "how hot is the press?"}]}' |
    grep '^data:'
}
whole_chat() {
  [[ $(chat "$1" | tail -n 1) == "data: [DONE]" ]]
}
answers=0
for address in "${entries[@]}"; do
  wait_for whole_chat "$address" || answers=1
done
chat "${entries[0]}" >"$work/through"
chat "${engines[0]}" >"$work/direct"
cmp -s "$work/through" "$work/direct" || answers=1
step "$answers" "streamed chat answer equals the engine's: $(
  grep -o '"content":"[^"]*"' "$work/through" | cut -d'"' -f4 | tr -d '\n')"

order() { # ADDRESS
  curl -sf --max-time 60 "http://$1/orders" -H "Authorization: Bearer $key" \
    -H 'X-Sycamorebend-Labels: kind=order' -H 'Idempotency-Key: order-1' \
    -d 'two belts'
}
executed_once() {
  curl -sf "http://$service/fake/stats" |
    grep -q '"runs_by_key":{"order-1":1}'
}
wait_for order "${entries[0]}"
first=$(order "${entries[0]}")
second=$(order "${entries[1]}")
[[ -n $first && $first == "$second" ]] && executed_once
step $? "one order, sent again at another entry daemon: one execution"

ctl drain engine-1 >/dev/null 2>&1
step $? "drain of engine-1 accepted"
drained() {
  "$bin/sycamorebend-ctl" servers --entry="$1" --output=json |
    tr -d ' \n' | grep -q '"drained":true'
}
started() {
  curl -sf "http://${engines[0]}/fake/stats" | grep -o '"started":[0-9]*'
}
drains=0
for address in "${entries[@]}"; do
  wait_for drained "$address" || drains=1
done
before=$(started)
for address in "${entries[@]}" "${entries[@]}"; do
  whole_chat "$address" || drains=1
done
[[ -n $before && $(started) == "$before" ]] || drains=1
step "$drains" "engine-1 gets no new work, engine-2 answers"

stopped=0
for group in engine-1 engine-2 service entry-1 entry-2 entry-3 control-1 \
  control-2 control-3; do
  kill -TERM "${pids[$group]}"
  # Entry daemons drain at the same time; replicas stop last.
  [[ $group == entry-* || $group == engine-* || $group == service ]] ||
    { wait "${pids[$group]}" || stopped=1; unset "pids[$group]"; }
  if [[ $group == entry-3 ]]; then
    for name in engine-1 engine-2 service entry-1 entry-2 entry-3; do
      wait "${pids[$name]}" || stopped=1
      unset "pids[$name]"
    done
  fi
done
step "$stopped" "every process stopped gracefully"
exit "$failed"
