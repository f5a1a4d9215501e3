#!/usr/bin/env bash
# Runs clang-tidy and the project's own checks over every source file, or over those given.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-tidy -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'tests/*.cpp' 'bench/*.cpp' \
  'soak/*.cpp')
[ $# -eq 0 ] || files=("$@")
perl scripts/check_coawait.pl "${files[@]}"
printf '%s\0' "${files[@]}" |
  xargs -0 -P "$(nproc)" -n 1 sh -c 'clang-tidy -p build-tidy --quiet "$0" 2>/dev/null || exit 1'
echo "lint: ${#files[@]} files are clean"
