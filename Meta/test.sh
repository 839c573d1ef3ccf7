#!/usr/bin/env bash
# Builds and runs the tests. With no argument: the release variant. With `all`: also under AddressSanitizer with UBSan
# and under ThreadSanitizer. Tests listed in KNOWN-RED.txt are printed and passed over: `Test NAME VARIANT` names a test
# case, and `Program NAME VARIANT` a whole program, both in one variant.
set -euo pipefail
cd "$(dirname "$0")/.."
variants=("${@:-release}")
[ "${variants[0]}" = all ] && variants=(release asan tsan)

export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export TSAN_OPTIONS="halt_on_error=1:second_deadlock_stack=1:suppressions=$PWD/Meta/tsan.supp"
for variant in "${variants[@]}"; do
    Meta/build.sh "$variant"
    echo "== tests, $variant"
    unset BOOST_TEST_RUN_FILTERS
    tests=""
    if [ -f KNOWN-RED.txt ]; then
        tests=$(awk -v variant="$variant" '/^Test / && $3 == variant { print "!" $2 }' KNOWN-RED.txt | paste -sd: -)
    fi
    if [ -n "$tests" ]; then
        echo "Test cases passed over in this variant, listed in KNOWN-RED.txt: $tests"
        export BOOST_TEST_RUN_FILTERS="$tests"
    fi
    programs=""
    if [ -f KNOWN-RED.txt ]; then
        programs=$(awk -v variant="$variant" '/^Program/ && $3 == variant { print $2 }' KNOWN-RED.txt | paste -sd'|' -)
    fi
    if [ -n "$programs" ]; then
        echo "Passed over in this variant, listed in KNOWN-RED.txt: $programs"
    fi
    ctest --test-dir "Build/$variant" --output-on-failure --parallel 4 ${programs:+--exclude-regex "^($programs)\$"}
done
