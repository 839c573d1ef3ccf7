#!/usr/bin/env bash
# Fuzzes the settings parser, the tables parser and traceparent for SECONDS each, beginning with the corpus under
# Tests/Fuzz/Corpus. A crashing input is left in Build/fuzz; add it to the corpus, which an ordinary test replays.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:?usage: Meta/fuzz.sh SECONDS}"
[[ "$seconds" =~ ^[1-9][0-9]*$ ]] || { echo "SECONDS must be a whole number above 0" >&2; exit 2; }
mkdir -p Build/fuzz
sources=(Libraries/LibCore/*.cpp Libraries/LibRouting/*.cpp Libraries/LibConfig/*.cpp
    Libraries/LibTelemetry/Trace.cpp Libraries/LibTelemetry/Hex.cpp Tests/Fuzz/Targets.cpp)
flags=(-std=gnu++20 -g -O1 -ILibraries -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined)
launcher=$(command -v ccache || true)
objects=()
for source in "${sources[@]}"; do
    object="Build/fuzz/$(echo "$source" | tr / _).o"
    $launcher clang++ "${flags[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for target in settings:checkSettings tables:checkTables traceparent:checkTraceparent; do
    name="${target%%:*}"
    clang++ "${flags[@]}" "-DPRIMROSESHIFT_FUZZ_TARGET=${target##*:}" Tests/Fuzz/Fuzzer/Fuzzer.cpp "${objects[@]}" \
        -fsanitize=fuzzer,address,undefined -linih -lxxhash -o "Build/fuzz/$name"
    mkdir -p "Build/fuzz/found-$name"
    echo "== fuzz, $name, $seconds s"
    "Build/fuzz/$name" "-max_total_time=$seconds" -max_len=4096 -rss_limit_mb=1024 -print_final_stats=1 \
        "-artifact_prefix=Build/fuzz/$name-" "Build/fuzz/found-$name" "Tests/Fuzz/Corpus/$name" 2>&1 |
        grep -E 'ERROR|SUMMARY|Test unit written|DONE|stat::number_of_executed_units|stat::new_units_added'
done
