#!/usr/bin/env bash
# Runs one benchmark by name, or lists the names. The results of recorded runs are under docs/measurements.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -lt 1 ] || [ ! -x "Meta/bench/$1.sh" ]; then
    echo "usage: Meta/bench.sh NAME [arguments]; names:" >&2
    find Meta/bench -name '*.sh' -printf '  %f\n' | sed 's/\.sh$//' | sort >&2
    exit 2
fi
name="$1"
shift
exec "Meta/bench/$name.sh" "$@"
