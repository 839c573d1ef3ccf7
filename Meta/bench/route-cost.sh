#!/usr/bin/env bash
# Cost of a request against the number of routes, pools and backend servers (as many of each), relay pinned to 2 cores.
# Usage: route-cost.sh [rounds] [seconds per measurement]
set -euo pipefail
cd "$(dirname "$0")/../.."
rounds="${1:-3}"
seconds="${2:-3}"
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

sizes=(0 40 400 4000)
for size in "${sizes[@]}"; do
    taskset -c 0,1 "$bin/BareRelay" --mode proxy --fillers "$size" >"$work/proxy-$size" & started+=($!)
    wait_for_line "$work/proxy-$size"
    entry="$(awk '{print $2}' "$work/proxy-$size")"
    taskset -c 6-9 "$bin/BackendEmulator" --name letters-1 --pool letters --slots 64 --connections 200 \
        --checks-fencing --switch serviceMs=0 --switch queue=1000 --entry "$entry" >"$work/backend-$size" & started+=($!)
done
sleep 2
for round in $(seq "$rounds"); do
    for size in "${sizes[@]}"; do
        taskset -c 2-5 timeout $((seconds + 20)) "$bin/LoadTool" --entry "$(awk '{print $2}' "$work/proxy-$size")" \
            --workload letter-status --connections 16 --seconds "$((seconds + 1))" --warm-up 1 --requests 2000000 \
            --latencies | sed "s|^|round $round, $size more routes, pools and servers: |"
    done
done
