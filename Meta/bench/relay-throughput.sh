#!/usr/bin/env bash
# Throughput and added latency of the data path against a bare relay and against direct calls, side by side in one run.
# The relay under test is pinned to 2 cores, the load tool to 4 others, the emulators to the remaining 4.
# Usage: relay-throughput.sh [rounds] [seconds per measurement]
set -euo pipefail
cd "$(dirname "$0")/../.."
rounds="${1:-3}"
seconds="${2:-4}"
bin=Build/release/bin
work="$(mktemp -d)"
started=()
cleanup() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
wait_for_line() { for _ in $(seq 100); do [ -s "$1" ] && return; sleep 0.05; done; echo "no output in $1" >&2; exit 1; }

taskset -c 0,1 "$bin/BareRelay" --mode proxy --threads 1100 >"$work/proxy" & started+=($!)
wait_for_line "$work/proxy"
proxy="$(awk '{print $2}' "$work/proxy")"
backends=()
for i in 1 2 3 4; do
    taskset -c 6-9 "$bin/BackendEmulator" --name "letters-$i" --pool letters --slots 64 --connections 600 \
        --checks-fencing --switch serviceMs=0 --switch queue=1000 --entry "$proxy" >"$work/backend-$i" & started+=($!)
done
for i in 1 2 3 4; do
    wait_for_line "$work/backend-$i"
    backends+=("$(awk '{print $2}' "$work/backend-$i")")
done
taskset -c 0,1 "$bin/BareRelay" --mode bare --threads 1100 $(printf -- '--backend %s ' "${backends[@]}") >"$work/bare" & started+=($!)
wait_for_line "$work/bare"
bare="$(awk '{print $2}' "$work/bare")"
sleep 2

load() { # name, connections, rate, entries
    local name="$1" connections="$2" rate="$3"
    shift 3
    taskset -c 2-5 timeout $((seconds + 20)) "$bin/LoadTool" $(printf -- '--entry %s ' "$@") --workload letter-status \
        --connections "$connections" --rate "$rate" --seconds "$((seconds + 1))" --warm-up 1 --sticky --requests 2000000 --latencies \
        | sed "s|^|$name connections $connections rate $rate: |"
}
for round in $(seq "$rounds"); do
    echo "round $round"
    for connections in 50 200; do
        for rate in 0 4250; do
            load direct "$connections" "$rate" "${backends[@]}"
            load bare "$connections" "$rate" "$bare"
            load proxy "$connections" "$rate" "$proxy"
        done
    done
done
