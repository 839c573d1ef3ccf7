#!/usr/bin/env bash
# Starts 3 control hosts, 3 entry hosts and 11 emulated backend servers on loopback, sends the letters and orders workloads
# through every entry host, and meanwhile edits a route, takes a failure domain out and back, and kills the control leader
# and a backend server. Prints what was sent, answered, run twice or answered wrongly, and the usage by pool. Exits
# non-zero when a promise was broken. Stops everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${1:-}" = --no-build ] || { Meta/install-dependencies.sh && Meta/build.sh release; }

bin="$PWD/Build/release/bin"
folder=$(mktemp -d)
base=${PRIMROSESHIFT_DEMO_PORT:-17100}
declare -A pids=()
cleanup() {
    for name in "${!pids[@]}"; do kill "${pids[$name]}" 2>/dev/null || true; done
    for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
    [ -n "${KEEP_DEMO_FOLDER:-}" ] && echo "logs are in $folder" || rm -rf "$folder"
}
trap cleanup EXIT

peers() { for i in 1 2 3; do echo "c$i = 127.0.0.1:$((base + i)), fd$i"; done; }
settings() { # NAME INDEX ROLE
    cat <<INI
[host]
name = $1
failure-domain = fd$2
region = west
cluster = demo
roles = $3
data-directory = $folder/$1
[control-peers]
$(peers)
[telemetry]
span-file = $folder/$1.spans
sampled-per-mille = 100
[usage]
sync-interval = 1s
[listen]
INI
}
start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}

entries=""
export PRIMROSESHIFT_ENTRY_POINTS=""
for i in 1 2 3; do
    { settings "c$i" "$i" control; echo "rpc = 127.0.0.1:$((base + i))"; echo "operator = 127.0.0.1:$((base + 10 + i))"; } >"$folder/c$i.ini"
    {
        settings "e$i" "$i" entry
        echo "rpc = 127.0.0.1:$((base + 20 + i))"
        echo "caller = 127.0.0.1:$((base + 30 + i))"
        echo "admin = 127.0.0.1:$((base + 40 + i))"
    } >"$folder/e$i.ini"
    entries="$entries${entries:+,}127.0.0.1:$((base + 30 + i))"
    PRIMROSESHIFT_ENTRY_POINTS="$PRIMROSESHIFT_ENTRY_POINTS${PRIMROSESHIFT_ENTRY_POINTS:+,}127.0.0.1:$((base + 10 + i))"
    start "c$i" "$bin/primroseshiftd" --config "$folder/c$i.ini" --bootstrap
    start "e$i" "$bin/primroseshiftd" --config "$folder/e$i.ini"
done
ctl() { "$bin/primroseshiftctl" "$@"; }
wait_for() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || { echo "demo: timed out waiting for: $*" >&2; exit 1; }
        sleep 0.2
    done
}

wait_for 15 ctl status
wait_for 15 ctl edit apply Meta/demo-tables.ini --base 0 --author demo --id demo-tables --wait=5s
n=0
for pool in letter letter letter letter upload upload ordering ordering ordering scan scan; do
    n=$((n + 1))
    fencing=""
    [ $((n % 2)) -eq 0 ] && fencing=--checks-fencing
    start "s$n" "$bin/BackendEmulator" --name "s$n" --pool "$pool" --domain "fd$((n % 3 + 1))" --slots 4 $fencing \
        --entry "$entries" --execution-log "$folder/s$n.exec"
done
# Whether each slot of the key-partitioned pools has an owner.
all_owned() { ctl pools | awk '$2 == "key-partitioned" { n++; if ($3 != $4) bad = 1 } END { exit !(n == 2 && !bad) }'; }
wait_for 20 all_owned

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
