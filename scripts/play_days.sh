#!/usr/bin/env bash
# Plays days of our own on a site and prints a line for each: its name, and the rules broken, if any.
# Usage: FLEETBENCH=PROGRAM scripts/play_days.sh SITE.toml [DAY.toml...]; JOBS sets how many at once.
set -uo pipefail
cd "$(dirname "$0")/.."
site=$1
shift
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
out=${OUT:-$(mktemp -d)}
mkdir -p "$out"
"$FLEETBENCH" build >/dev/null || exit 1
play() {
  local name
  name=$(basename "$3" .toml)
  "$1" run "$2" "$3" --why "our own day: $name" >"$4/$name.log" 2>&1
  local line
  line=$(grep -A1 '^day ' "$4/$name.log" | sed -n 2p)
  echo "${line:-$name: not played: $(tail -n 1 "$4/$name.log")}"
}
export -f play
printf '%s\n' "${days[@]}" |
  xargs -P "${JOBS:-4}" -I{} bash -c 'play "$@"' _ "$FLEETBENCH" "$site" {} "$out"
