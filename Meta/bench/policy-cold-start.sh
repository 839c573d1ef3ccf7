#!/usr/bin/env bash
# Runs the PolicyBench scenario cold-start in virtual time. Arguments: SEED (default 1), then x1 or x10 (default both).
set -euo pipefail
Meta/build.sh release >/dev/null
exec Build/release/bin/PolicyBench cold-start "${@:-1}"
