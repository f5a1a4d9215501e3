#!/usr/bin/env bash
# Installs what the build, the tests and the demo need on Debian 12. Does nothing where it's there.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config git curl perl
  clang-format clang-tidy
  libboost1.81-dev libabsl-dev libgoogle-glog-dev prometheus-cpp-dev libtomlplusplus-dev
  nlohmann-json3-dev libxxhash-dev libcpputest-dev libjsonrpccpp-dev libjsoncpp-dev libssl-dev libzstd-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${run[@]}" apt-get update -q
"${run[@]}" apt-get install -q -y --no-install-recommends "${missing[@]}"
