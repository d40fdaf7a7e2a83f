#!/usr/bin/env bash
# Installs every package that the build, the tests and the lint need.
set -euo pipefail
if [ "$(id -u)" -ne 0 ]; then
  exec sudo "$0" "$@"
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
  g++ cmake ninja-build ccache clang-format-14 clang-tidy-14 git python3 curl \
  libboost-dev libboost-system-dev libwebsocketpp-dev nlohmann-json3-dev \
  libvalijson-dev libpopt-dev libgoogle-glog-dev catch2 librapidcheck-dev \
  libxxhash-dev libssl-dev >/dev/null
