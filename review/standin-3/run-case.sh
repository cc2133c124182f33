#!/usr/bin/env bash
# Plays a case: run-case.sh CASE-FOLDER NAME [NODES]. Starts the nodes with the command of the deploy file, and the platform
# around them with the stand-in. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$1" && pwd)"
name="$2"
nodes="${3:-3}"
cd "$(dirname "$0")/../.."
node_program="$PWD/target/bin/oriolenode"
stand_in="$PWD/target/review-3/reviewcase"
record="$folder/record.txt"
: > "$record"
if [ ! -x "$node_program" ] || [ ! -x "$stand_in" ]; then
  echo "not built: $node_program or $stand_in" | tee -a "$record" >&2
  exit 2
fi
work="$(mktemp -d)"
# A network of its own within the loopback addresses, so that plays at the same time do not meet.
net="127.$((RANDOM % 100 + 50)).$((RANDOM % 250 + 1))"
pids=()
driver=

stop_all() {
  trap - EXIT INT TERM
  [ -z "$driver" ] || kill -TERM "$driver" 2> /dev/null
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null; done
  [ -z "$driver" ] || wait "$driver" 2> /dev/null
  rm -rf "$work"
}
trap 'stop_all; exit 2' EXIT INT TERM

# The settings are what platform/node.json.template gives with the bounds of a small site.
start_node() {
  local number="$1"
  local ip="$net.$((number + 10))"
  cat > "$work/node-$number.json" << SETTINGS
{
  "node": "node-$number",
  "availability_zone": "zone-a",
  "listen": {
    "callers": "$ip:7800",
    "readiness": "$ip:7801",
    "peers": "$ip:7802",
    "metrics": "$ip:9109"
  },
  "processor_share": 0.25,
  "link_mbps": 1000.0,
  "memory_mb": 260,
  "max_fds": 4200,
  "store": "$net.1:7900",
  "policy_service": "$net.1:7901",
  "longest_lease_ms": 6000,
  "longest_stop_ms": 900,
  "keep_finished_s": 120,
  "remote_factor": 3,
  "stop_grace_ms": 6000
}
SETTINGS
  ORIOLEVANE_NODE_FILE="$work/node-$number.json" "$node_program" > "$work/node-$number.log" 2>&1 &
  pids+=($!)
}

for number in $(seq 1 "$nodes"); do start_node "$number"; done
# In the background, so that a signal to this script ends all at once.
timeout --kill-after=1 115 "$stand_in" "$name" "$net" "$nodes" "$record" &
driver=$!
wait "$driver"
code=$?
# A stand-in that was ended or has crashed says nothing of the rule.
case "$code" in 0 | 1 | 2) ;; *) code=2 ;; esac
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS"
  cp "$work"/*.log "$KEEP_LOGS"/
fi
stop_all
exit "$code"
