# Sourced by Meta/demo.sh and by benchmarks: starts a system of separate processes on loopback and stops what it started.
# Sets: bin, folder, base, pids, entries, PRIMROSESHIFT_ENTRY_POINTS.

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
    "$@" >>"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}
start_backend() { # NAME POOL INDEX; every second one checks fencing tokens
    local fencing=()
    [ $(($3 % 2)) -eq 0 ] && fencing=(--checks-fencing)
    start "$1" "$bin/BackendEmulator" --name "$1" --pool "$2" --domain "fd$(($3 % 3 + 1))" --slots 4 "${fencing[@]}" \
        --entry "$entries" --execution-log "$folder/$1.exec"
}
ctl() { "$bin/primroseshiftctl" "$@"; }
wait_for() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || { echo "timed out waiting for: $*" >&2; exit 1; }
        sleep 0.2
    done
}
# Whether each slot of the key-partitioned pools has an owner.
all_owned() { ctl pools | awk '$2 == "key-partitioned" { n++; if ($3 != $4) bad = 1 } END { exit !(n == 2 && !bad) }'; }

entries=""
export PRIMROSESHIFT_ENTRY_POINTS=""
start_hosts() {
    for i in 1 2 3; do
        {
            settings "c$i" "$i" control
            echo "rpc = 127.0.0.1:$((base + i))"
            echo "operator = 127.0.0.1:$((base + 10 + i))"
        } >"$folder/c$i.ini"
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
    wait_for 15 ctl status
    wait_for 15 ctl edit apply Meta/demo-tables.ini --base 0 --author demo --id demo-tables --wait=5s
}
start_backends() {
    n=0
    for pool in letter letter letter letter upload upload ordering ordering ordering scan scan; do
        n=$((n + 1))
        start_backend "s$n" "$pool" "$n"
    done
    wait_for 20 all_owned
}
