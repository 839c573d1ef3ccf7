#!/usr/bin/env bash
# Compares the event catalogue in the code with the table in docs/events.md. `--rows` prints the rows of the code.
set -euo pipefail
cd "$(dirname "$0")/.."
rows() {
    awk '
        FNR == NR { if (match($0, /^    [A-Z][A-Za-z]* = [0-9]+,$/)) { split($0, part, /[ =,]+/); number[part[2]] = part[3] } next }
        /^ *PRIMROSESHIFT_EVENT\([A-Z]/ {
            sub(/^ *PRIMROSESHIFT_EVENT\(/, ""); sub(/"\),$/, "")
            split($0, text, /", "/); split(text[1], head, /, "/); split(head[1], name, /, /)
            if (!(name[1] in number)) { print "no number for " name[1] > "/dev/stderr"; exit 1 }
            print "| " number[name[1]] " | " name[1] " | " tolower(name[2]) " | " head[2] " | " text[2] " |"
            delete number[name[1]]
        }
        END { for (left in number) { print "no definition of " left > "/dev/stderr"; exit 1 } }
    ' Libraries/LibTelemetry/Event.h Libraries/LibTelemetry/Event.cpp
}
if [ "${1:-}" = --rows ]; then
    rows
    exit 0
fi
expected=$(rows)
[ -n "$expected" ] || { echo "no events found in the code" >&2; exit 1; }
diff <(printf '%s\n' "$expected") <(grep -E '^\| [0-9]+ \|' docs/events.md)
echo "docs/events.md matches the code: $(printf '%s\n' "$expected" | wc -l) events"
