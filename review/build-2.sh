#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, one program a case.
set -eu
cd "$(dirname "$0")"
target=../build-review-2
mkdir -p "$target"
compile="${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I ."
$compile -c stand_ins.cpp -o "$target/stand_ins.o"
for case in 6 8 9; do
  $compile "$case/case.cpp" "$target/stand_ins.o" -o "$target/case-$case"
done
parts=
for part in links objects deployment; do
  $compile -Wno-missing-field-initializers -c "$part.cpp" -o "$target/$part.o"
  parts="$parts $target/$part.o"
done
for case in 7 10; do
  $compile -Wno-missing-field-initializers "$case/case.cpp" $parts \
    -o "$target/case-$case"
done
