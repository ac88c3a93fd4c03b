#!/usr/bin/env bash
# Compiles all sources for the other kind of machine, x86-64 or arm64, with
# Debian's cross compiler, the optimiser and warnings as errors. Nothing is
# linked or run, as the libraries of the other kind are not installed.
# usage: tools/check-other-machine.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

build="${1:-build-other}"
case "$(dpkg --print-architecture)" in
  amd64) kind=aarch64 ;;
  arm64) kind=x86_64 ;;
  *)
    echo "no other kind of machine is known for $(uname -m)" >&2
    exit 1
    ;;
esac

# headers of the libraries: those of this machine, behind the C library's own
here="$(gcc -print-multiarch)"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DFIGSLIP_OptimizeFlags=-O2 -DFIGSLIP_WarningsAsErrors=ON \
  -DCMAKE_SYSTEM_NAME=Linux -DCMAKE_SYSTEM_PROCESSOR="$kind" \
  -DCMAKE_C_COMPILER="$kind-linux-gnu-gcc" \
  -DCMAKE_CXX_COMPILER="$kind-linux-gnu-g++" \
  -DCMAKE_CXX_FLAGS="-idirafter /usr/include -idirafter /usr/include/$here" \
  -DOPENSSL_INCLUDE_DIR=/usr/include/openssl \
  -DOPENSSL_CRYPTO_LIBRARY="/usr/lib/$here/libcrypto.so" \
  -DOPENSSL_SSL_LIBRARY="/usr/lib/$here/libssl.so" > /dev/null
ninja -C "$build" -t targets all | sed -n 's/^\(.*\.o\): .*/\1/p' |
  xargs ninja -C "$build" --quiet
printf 'compiled %s files for %s\n' \
  "$(find "$build" -name '*.o' | wc -l)" "$kind"
