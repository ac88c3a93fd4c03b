#!/bin/sh
# Builds the programs of the cases from 11 on, each with its stand-ins, into
# target/review-3. It needs the packages of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread"
for source in http store world; do
  g++ $flags -c "review/stand-ins-3/$source.cpp" -o "$out/$source.o"
done
for source in review/stand-ins-3/case_*.cpp; do
  g++ $flags "$source" "$out/http.o" "$out/store.o" "$out/world.o" \
    -o "$out/$(basename "$source" .cpp)"
done
