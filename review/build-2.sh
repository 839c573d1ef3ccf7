#!/usr/bin/env bash
# The stand-ins of the cases from 6 on are Python scripts of review/standin-2/, which need no build.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "
import ast, glob
for path in glob.glob('standin-2/*.py') + glob.glob('[0-9]*/play.py'):
    ast.parse(open(path, encoding='utf-8').read(), path)
"
