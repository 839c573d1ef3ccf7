#!/usr/bin/env bash
# Commits per second and bytes per commit of 3 voters in one process with real files, and what an entry costs in memory
# and CPU time. Arguments: [seconds per row]. BENCH_DIR is the folder for the files (default: the build folder).
set -euo pipefail
cd "$(dirname "$0")/../.."
Meta/build.sh release >/dev/null
seconds="${1:-5}"
directory="${BENCH_DIR:-Build/release}/bench-commit-rate"
bench=Build/release/bin/ConsensusBench
rm -rf "$directory"
trap 'rm -rf "$directory"' EXIT
echo "| batch | payload B | commits/s | p50 ms | p99 ms | fsync/s per voter | B written per commit and voter | B sent per commit | CPU us per commit |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for payload in 300 2000; do
    for batch in 1 16 256; do
        "$bench" --mode commits --batch "$batch" --payload "$payload" --seconds "$seconds" --directory "$directory"
        rm -rf "$directory"
    done
done
echo
echo "| payload B | B in memory per entry | CPU us per entry, leader | CPU us per entry, follower | B encoded | B of LogEntry |"
echo "| --- | --- | --- | --- | --- | --- |"
for payload in 100 300 1000 4000; do
    "$bench" --mode slopes --payload "$payload" --entries 100000
done
