#!/usr/bin/env bash
# Runs the history and fuzz tests again and again with new seeds.
# usage: tools/soak.sh [ROUNDS]
set -uo pipefail
cd "$(dirname "$0")/.."

rounds="${1:-5}"
failed=0
export FIGSLIP_BIN="$PWD/build/bin"
for ((round = 1; round <= rounds; ++round)); do
  seed="$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')"
  echo "== round $round, seed $seed"
  export FIGSLIP_SEED="$seed"
  export RC_PARAMS="seed=$seed max_success=2000"
  for test in build/bin/history-* build/bin/fuzz-*; do
    if ! "$test" > build/soak.log 2>&1; then
      failed=1
      echo "failed: FIGSLIP_SEED=$seed RC_PARAMS=\"$RC_PARAMS\" $test"
      cat build/soak.log
    fi
  done
done
exit "$failed"
