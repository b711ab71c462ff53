#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
  python3 curl libjsonrpccpp-dev prometheus-cpp-dev libabsl-dev libfmt-dev libboost-dev
  libboost-test-dev libmicrohttpd-dev libcurl4-openssl-dev libjsoncpp-dev zlib1g-dev
  libssl-dev libhttp-parser-dev libev-dev libmsgpack-cxx-dev librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    --no-install-recommends "${missing[@]}" >/dev/null
fi
