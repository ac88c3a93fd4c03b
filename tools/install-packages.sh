#!/usr/bin/env bash
# Installs what the build and the checks need, from Debian's packages.
set -euo pipefail
apt-get update -qq
case "$(dpkg --print-architecture)" in
  amd64) cross=(g++-aarch64-linux-gnu) ;;
  arm64) cross=(g++-x86-64-linux-gnu) ;;
  *) cross=() ;;
esac
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
  g++ make cmake ninja-build ccache clang-format-19 clang-tidy-19 \
  libcivetweb-dev libcpp-httplib-dev libthrift-dev libcli11-dev \
  libeasyloggingpp-dev libboost-dev librapidcheck-dev nlohmann-json3-dev \
  doctest-dev libssl-dev libxxhash-dev libbenchmark-dev libtomlplusplus-dev \
  "${cross[@]}" > /dev/null
