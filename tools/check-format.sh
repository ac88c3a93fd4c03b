#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard -- '*.hpp' '*.cpp' ':!generated' |
  xargs clang-format-19 --dry-run -Werror
