#!/usr/bin/env bash
# Churn of slot ownership, imbalance under skewed keys, and virtual time until slots are served again after a loss.
set -euo pipefail
Meta/build.sh release >/dev/null
Build/release/bin/ControlBench churn
echo
Build/release/bin/ControlBench recovery --seeds "${1:-60}"
