#!/usr/bin/env bash
# Builds what the deploy file says, in a clean copy of the tracked files, and checks that the program
# it runs is there.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
# One archive, whatever the length of the list: xargs begins a second tar at 128 KiB of names, and the
# reader ends at the first archive's end. Measured with 3,649 files: 11 were missing, or SIGPIPE.
git ls-files -z | tar --null --files-from=- -cf - | tar xf - -C "$copy"
tracked=$(git ls-files | wc -l)
copied=$(find "$copy" -type f | wc -l)
[ "$tracked" -eq "$copied" ] || { echo "deploy: $copied of $tracked files copied"; exit 1; }
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
program=$(sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml)
(cd "$copy" && sh -c "$build" >build.log 2>&1) || { tail -n 20 "$copy/build.log"; exit 1; }
[ -x "$copy/$program" ]
echo "deploy: $program is built"
