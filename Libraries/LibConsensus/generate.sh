#!/usr/bin/env bash
# Makes the committed C++ code from Consensus.capnp.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -oc++ Consensus.capnp
