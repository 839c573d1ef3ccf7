#!/usr/bin/env bash
set -u
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
