#!/usr/bin/env bash
# Builds one variant into Build/VARIANT. Variants: release, asan (AddressSanitizer and UBSan), tsan (ThreadSanitizer).
set -euo pipefail
cd "$(dirname "$0")/.."
variant="${1:-release}"
case "$variant" in
release) sanitize="" ;;
asan) sanitize="address,undefined" ;;
tsan) sanitize="thread" ;;
*) echo "usage: Meta/build.sh [release|asan|tsan]" >&2; exit 2 ;;
esac
# Clones in different folders share cached objects.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
if [ ! -f "Build/$variant/build.ninja" ]; then
    cmake -S . -B "Build/$variant" -G Ninja -DPRIMROSESHIFT_SANITIZE="$sanitize" >/dev/null
fi
cmake --build "Build/$variant"
