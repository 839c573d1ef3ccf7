#!/usr/bin/env bash
# Restarts each entry host and each control host gracefully, one after the other, under load, and prints what became of the
# requests. Real processes on loopback. Usage: Meta/bench.sh rolling-restart [RATE]
set -euo pipefail
cd "$(dirname "$0")/../.."
rate=${1:-200}
. Meta/cluster.sh
start_hosts
start_backends
logs=$(for i in $(seq 1 "$n"); do echo "$folder/s$i.exec"; done | paste -sd,)
timeout 90 "$bin/LoadTool" --entry "$entries" --workload mixed --connections 16 --rate "$rate" \
    --requests $((rate * 40)) --seconds 40 --execution-log "$logs" >"$folder/load.txt" 2>&1 &
load=$!
sleep 2
for host in e1 e2 e3 c1 c2 c3; do
    kill -TERM "${pids[$host]}"
    wait "${pids[$host]}" || echo "$host exited with $?"
    start "$host" "$bin/primroseshiftd" --config "$folder/$host.ini"
    sleep 3
done
verdict=0
wait "$load" || verdict=$?
cat "$folder/load.txt"
exit "$verdict"
