#!/usr/bin/env bash
# Checks the formatting of all C++ files, then runs clang-tidy over all translation units. `--fix-format` formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' | grep -v '\.capnp\.')
if [ "${1:-}" = --fix-format ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
[ -f Build/release/compile_commands.json ] || Meta/build.sh release >/dev/null
# The fuzzer's entry point is built by Meta/fuzz.sh alone, once per target, so it has no compile command.
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -v '^Tests/Fuzz/Fuzzer/' | grep -E "${LINT_ONLY:-.}")
printf '%s\0' "${units[@]}" | xargs -0 -n 2 -P "${LINT_JOBS:-8}" clang-tidy -p Build/release --quiet 2>/dev/null
echo "clang-tidy: ${#units[@]} translation units clean"
