#!/usr/bin/env bash
# Starts 3 control hosts, 3 entry hosts and 11 emulated backend servers on loopback, sends the letters and orders workloads
# through every entry host, and meanwhile edits a route, takes a failure domain out and back, and kills the control leader
# and a backend server. Prints what was sent, answered, run twice or answered wrongly, and the usage by pool. Exits
# non-zero when a promise was broken. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${1:-}" = --no-build ] || { Meta/install-dependencies.sh && Meta/build.sh release; }

. Meta/cluster.sh
start_hosts
start_backends

logs=$(for i in $(seq 1 $n); do echo "$folder/s$i.exec"; done | paste -sd,)
timeout 60 "$bin/LoadTool" --entry "$entries" --workload mixed --connections 24 --rate 400 --requests 12000 --seconds 30 \
    --execution-log "$logs" >"$folder/load.txt" 2>&1 &
load=$!
sleep 3
echo "== edit of a route while traffic runs"
sed 's/^deadline = 5s$/deadline = 6s/' Meta/demo-tables.ini >"$folder/tables.ini"
ctl edit apply "$folder/tables.ini" --base 1 --author demo --wait=7s
sleep 2
echo "== failure domain fd2 out of service and back"
ctl drain --domain fd2 --author demo
sleep 4
ctl domains
ctl return --domain fd2 --author demo
sleep 3
leader=$(ctl status | awk '/^leader/ { sub(",", "", $2); print $2 }')
echo "== kill of the control leader $leader and of the backend server s1"
kill -9 "${pids[$leader]}" "${pids[s1]}"
wait "${pids[$leader]}" "${pids[s1]}" 2>/dev/null || true
unset "pids[$leader]" "pids[s1]"
verdict=0
wait "$load" || verdict=$?
wait_for 10 ctl status
ctl status
ctl pools
ctl usage --by pool --from "$(date -u +%Y-%m-%d)"
cat "$folder/load.txt"
exit "$verdict"
