#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests, the formatter and the linter need. Needs root.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy clang libclang-rt-14-dev python3
    libtbb-dev libcapnp-dev capnproto prometheus-cpp-dev libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev
    libcxxopts-dev liblog4cplus-dev libinih-dev nlohmann-json3-dev libxxhash-dev libboost-dev libboost-test-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
