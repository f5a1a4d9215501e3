#!/usr/bin/env bash
# Checks that the platform's names stand in platform/ only, that platform/ is under a tenth of the
# code, that folders include as docs/DESIGN.md says, and that comments tell no measurements.
set -euo pipefail
cd "$(dirname "$0")/.."
perl scripts/check_names.pl
perl scripts/check_rooms.pl
perl scripts/check_comments.pl
folder=$(git ls-files 'platform/*.cpp' 'platform/*.h' | xargs cat | wc -l)
code=$(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs cat | wc -l)
echo "platform/: $folder of $code lines"
[ $((folder * 10)) -lt "$code" ]
