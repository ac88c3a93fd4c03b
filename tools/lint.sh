#!/usr/bin/env bash
# Runs the linter over every source file of a configured build.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
# findings decide the verdict, not the exit code of the runner
run-clang-tidy-19 -quiet -p "$build" -j "$(nproc)" \
  "$PWD/(src|platform|programs|tests|benchmarks)/.*\.cpp$" > "$build/lint-full.txt" 2>&1 || true
grep -E '(warning|error):' "$build/lint-full.txt" | sort -u > "$build/lint.txt" || true
cat "$build/lint.txt"
[ ! -s "$build/lint.txt" ]
