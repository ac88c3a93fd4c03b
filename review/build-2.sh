#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, one program a case.
set -eu
cd "$(dirname "$0")"
target=../build-review-2
mkdir -p "$target"
compile="${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -I ."
$compile -c stand_ins.cpp -o "$target/stand_ins.o"
for case in 6 7 8 9 10; do
  if [ -f "$case/case.cpp" ]; then
    $compile "$case/case.cpp" "$target/stand_ins.o" -o "$target/case-$case"
  fi
done
