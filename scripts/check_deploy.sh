#!/usr/bin/env bash
# Builds what the deploy file says, in a clean copy of the tracked files, and checks that the program
# it runs is there.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 tar cf - | tar xf - -C "$copy"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
program=$(sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml)
(cd "$copy" && sh -c "$build" >build.log 2>&1) || { tail -n 20 "$copy/build.log"; exit 1; }
[ -x "$copy/$program" ]
echo "deploy: $program is built"
