#!/usr/bin/env bash
# A model runner in trouble answers a reservation without end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x build-review/stage ] || [ ! -x target/src/dunehookd ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 2 115 build-review/stage endless-hold review/1
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
