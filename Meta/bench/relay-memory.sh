#!/usr/bin/env bash
# Resident memory of the data path: growth for a 1 GiB upload and a 1 GiB download, and per 1,000 open connections.
set -euo pipefail
cd "$(dirname "$0")/../.."
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
memory() { awk -v name="$1:" '$1 == name { print $2 }' "/proc/$relay/status"; }

"$bin/BareRelay" --mode proxy --threads 2200 >"$work/proxy" & relay=$!
started+=("$relay")
wait_for_line "$work/proxy"
proxy="$(awk '{print $2}' "$work/proxy")"
for pool in letters uploads; do
    "$bin/BackendEmulator" --name "$pool-1" --pool "$pool" --slots 64 --connections 600 --switch serviceMs=0 \
        --switch queue=2000 --entry "$proxy" >"$work/$pool" & started+=($!)
    wait_for_line "$work/$pool"
done
sleep 1

idle="$(memory VmRSS)"
echo "idle: $idle KiB"
timeout 60 "$bin/LoadTool" --entry "$proxy" --workload upload --upload-bytes $((1 << 30)) --connections 1 --requests 1 \
    --max-sends 1 --latencies
echo "1 GiB upload: peak grew by $(($(memory VmHWM) - idle)) KiB"
curl -sS -o "$work/null" --output /dev/null -w '1 GiB download: status %{http_code}, %{size_download} bytes\n' \
    "http://$proxy/uploads/x?bytes=$((1 << 30))"
echo "1 GiB download: peak grew by $(($(memory VmHWM) - idle)) KiB"

for connections in 1000 2000; do
    before="$(memory VmRSS)"
    timeout 60 "$bin/LoadTool" --entry "$proxy" --workload letter-status --connections "$connections" --rate 500 \
        --seconds 6 --warm-up 1 --latencies & load=$!
    sleep 5
    echo "$connections open connections, $(memory Threads) threads: grew by $(($(memory VmRSS) - before)) KiB"
    wait "$load"
done
