#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review, with the compiler and
# the libraries of the deploy file only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  case=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$case"
done
