#!/usr/bin/env bash
# CPU time and bytes of the control state and the leader at several sizes.
set -euo pipefail
Meta/build.sh release >/dev/null
Build/release/bin/ControlBench cost
