#!/usr/bin/env bash
# Checks that the platform's names stand in platform/ only, and that platform/ is under a tenth of
# the code.
set -euo pipefail
cd "$(dirname "$0")/.."
perl scripts/check_names.pl
folder=$(git ls-files 'platform/*.cpp' 'platform/*.h' | xargs cat | wc -l)
code=$(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs cat | wc -l)
echo "platform/: $folder of $code lines"
[ $((folder * 10)) -lt "$code" ]
