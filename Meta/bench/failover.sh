#!/usr/bin/env bash
# Time until a key is served again after its backend server is killed, frozen (SIGSTOP), or killed together with the control
# leader. Real processes on loopback. Usage: Meta/bench.sh failover [RUNS]; 50 runs take about 8 minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${1:-10}
. Meta/cluster.sh
start_hosts
start_backends

# Sends polls for one key until one is answered and prints the milliseconds since the start of the script.
cat >"$folder/probe.py" <<'PY'
import http.client, sys, time
address, key = sys.argv[1], sys.argv[2]
begin = time.monotonic()
refused = 0
while time.monotonic() - begin < 20:
    try:
        connection = http.client.HTTPConnection(address, timeout=10)
        connection.request("GET", f"/letters/{key}/status")
        response = connection.getresponse()
        response.read()
        if response.status == 200:
            print(f"{(time.monotonic() - begin) * 1000:.0f} {refused}")
            sys.exit(0)
    except OSError:
        pass
    refused += 1
    time.sleep(0.01)
print("20000", refused)
PY
owner() { ctl owners letter --key "$1" | awk 'NR == 2 { print $NF }'; }

for fault in kill freeze kill-with-leader; do
    : >"$folder/$fault.times"
    for run in $(seq 1 "$runs"); do
        wait_for 30 all_owned
        sleep 1
        key="$fault-$run"
        server=$(ctl owners letter --key "$key" | grep -oE '\bs[0-9]+\b' | head -1)
        leader=""
        [ "$fault" = kill-with-leader ] && leader=$(ctl status | awk '/^leader/ { sub(",", "", $2); print $2 }')
        if [ "$fault" = freeze ]; then kill -STOP "${pids[$server]}"; else kill -9 "${pids[$server]}"; fi
        [ -n "$leader" ] && kill -9 "${pids[$leader]}"
        python3 "$folder/probe.py" "127.0.0.1:$((base + 31))" "$key" >>"$folder/$fault.times"
        if [ "$fault" = freeze ]; then
            kill -CONT "${pids[$server]}"
        else
            wait "${pids[$server]}" 2>/dev/null || true
            start_backend "$server" letter "${server#s}"
        fi
        if [ -n "$leader" ]; then
            wait "${pids[$leader]}" 2>/dev/null || true
            start "$leader" "$bin/primroseshiftd" --config "$folder/$leader.ini"
            wait_for 20 ctl status
        fi
    done
    sort -n "$folder/$fault.times" | awk -v fault="$fault" '{ t[NR] = $1; r += $2 } END {
        printf "%s: %d runs, p50 %d ms, max %d ms, polls refused %d\n", fault, NR, t[int((NR + 1) / 2)], t[NR], r }'
done
