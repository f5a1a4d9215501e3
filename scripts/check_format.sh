#!/usr/bin/env bash
# Checks that every source file is formatted; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run -Werror "${files[@]}"
  echo "format: ${#files[@]} files are formatted"
fi
