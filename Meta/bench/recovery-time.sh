#!/usr/bin/env bash
# Time from opening the data directory to a node that is ready to run, against the length of the log.
# BENCH_DIR is the folder for the files (default: the build folder).
set -euo pipefail
cd "$(dirname "$0")/../.."
Meta/build.sh release >/dev/null
directory="${BENCH_DIR:-Build/release}/bench-recovery-time"
rm -rf "$directory"
trap 'rm -rf "$directory"' EXIT
echo "| entries | payload B | snapshot | MB of log read | median ms | slowest of 5, ms |"
echo "| --- | --- | --- | --- | --- | --- |"
for snapshot in false true; do
    for entries in 1000 10000 100000; do
        Build/release/bin/ConsensusBench --mode recovery --entries "$entries" --snapshot="$snapshot" --directory "$directory"
        rm -rf "$directory"
    done
done
