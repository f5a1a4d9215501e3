#!/usr/bin/env bash
# Plays the soak: every seed of soak/seeds.txt, which failed once, and those given. Prints the line of
# each seed that broke a promise, and a count. Usage: scripts/run_soak.sh BUILD [SEED...]; JOBS sets
# how many seeds at once, EPISODES how many spans of faults each.
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
export DUNEHOOK_BUILD=$build
mapfile -t seeds < <(grep -v '^#' soak/seeds.txt | cut -d: -f1)
seeds+=("$@")
out=$(mktemp)
trap 'rm -f "$out"' EXIT
printf '%s\n' "${seeds[@]}" |
  xargs -P "${JOBS:-2}" -I{} timeout 300 "$build/soak/soak" --seeds={} --episodes="${EPISODES:-5}" >>"$out" 2>&1
played=$(grep -c '"broken":\[\]' "$out" || true)
grep -v '"broken":\[\]' "$out"
echo "soak: ${#seeds[@]} seeds, $played kept every promise"
[ "$played" -eq "${#seeds[@]}" ]
