#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3.11 with its standard library only: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standin/standin.py [0-9]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
