#!/usr/bin/env bash
# Installs what the build and the checks need, from Debian's packages.
set -euo pipefail
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  g++ make cmake ninja-build ccache clang-format-19 clang-tidy-19 \
  libcivetweb-dev libcpp-httplib-dev libthrift-dev libcli11-dev \
  libeasyloggingpp-dev libboost-dev librapidcheck-dev nlohmann-json3-dev \
  doctest-dev libssl-dev libxxhash-dev libbenchmark-dev libtomlplusplus-dev > /dev/null
