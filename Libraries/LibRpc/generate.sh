#!/usr/bin/env bash
# Regenerates the committed C++ code from Rpc.capnp.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -I. -oc++ LibRpc/Rpc.capnp
mv LibRpc/Rpc.capnp.c++ LibRpc/Rpc.capnp.cpp
