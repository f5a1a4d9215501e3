#!/usr/bin/env bash
# Plays the regression runs: scores each deployment, hunts on it, and plays deploy/days there.
# Usage: FLEETBENCH=PROGRAM SITES=FOLDER scripts/regress.sh [SITE.toml...]
# Without arguments: the deployments of docs/bench/landing.csv, looked for below SITES.
# OUT keeps what each step printed; a step that has ended there isn't played again, so a run that was
# stopped goes on. JOBS is the number of days at once (half of the cores at most); STEPS the steps.
# A line a day, then a table: rules broken, gate, mean worth of the standard days with trouble beside the
# last landing's. One score moves by 0.03 by itself. Ends with 1 if a rule was broken or a gate missed.
set -uo pipefail
cd "$(dirname "$0")/.."
landing=docs/bench/landing.csv
out=${OUT:-regress-out}
half=$(($(nproc) / 2))
jobs=${JOBS:-$half}
[ "$jobs" -le "$half" ] || jobs=$half
steps=${STEPS:-score hunt days}
noise=0.03
few=60 # machines; a deployment of as many or more is hunted 8 days, a smaller one 40
mkdir -p "$out"

fail() {
  echo "regress: $1" >&2
  exit 2
}

# step SITE STEP COMMAND...: plays a step unless it has ended before; its output goes to a file.
step() {
  local log=$out/$1.$2.log
  shift 2
  [ -f "$log.done" ] && return
  if "$@" >"$log" 2>&1; then echo 0 >"$log.done"; else echo "$?" >"$log.done"; fi
}

# days_of LOG: its lines that tell of a day.
days_of() {
  grep -E '^[a-z][^ ]*( --seed [0-9]+)? +[0-9]+/[0-9]+ ' "$1"
}

# worth_of DAYS: mean worth of the standard days with trouble.
worth_of() {
  awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $2 !~ /seed/ { sum += $4; n++ } END { if (n) printf "%.3f", sum / n }'
}

# broken_in STEP LOG: days with a rule broken. A hunt shows some of its days only, and counts all.
broken_in() {
  if [ "$1" = hunt ]; then
    grep -oE '[0-9]+ with a rule broken' "$2" | grep -oE '^[0-9]+' || echo 0
  else
    days_of "$2" | grep -c BROKEN
  fi
}

# lost_in STEP LOG: days that weren't played, or 1 for a step that didn't come to its end.
lost_in() {
  case $1 in
    score) grep -qE '^GATE ' "$2" && echo 0 || echo 1 ;;
    hunt) grep -qE 'with a rule broken$' "$2" && echo 0 || echo 1 ;;
    days) grep -c 'not played' "$2" ;;
  esac
}

[ -x "${FLEETBENCH:-}" ] || fail "FLEETBENCH names no program"
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
  while IFS=, read -r name _; do
    found=$(find "${SITES:?}" -name "$name.toml" | head -n 1)
    [ -n "$found" ] || fail "no $name.toml below $SITES"
    sites+=("$found")
  done < <(tail -n +2 "$landing")
fi
"$FLEETBENCH" build >"$out/build.log" 2>&1 || fail "not built: $(tail -n 1 "$out/build.log")"

table=()
bad=0
for site in "${sites[@]}"; do
  [ -f "$site" ] || fail "no $site"
  name=$(basename "$site" .toml)
  for one in $steps; do
    case $one in
      score) step "$name" score "$FLEETBENCH" score "$site" --jobs "$jobs" --why "regression: score" ;;
      hunt)
        machines=$(days_of "$out/$name.score.log" 2>/dev/null | grep -oE '[0-9]+/[0-9]+' | head -n 1)
        count=40
        [ "${machines%%/*}" -ge "$few" ] 2>/dev/null && count=8
        step "$name" hunt "$FLEETBENCH" hunt "$site" --days "$count" --jobs "$jobs" --why "regression: hunt"
        ;;
      days) step "$name" days env OUT="$out/$name" JOBS="$jobs" scripts/play_days.sh "$site" ;;
      *) fail "no step $one" ;;
    esac
    days_of "$out/$name.$one.log" | sed "s|^|$name $one: |"
  done
  broken=0
  lost=0
  for one in $steps; do
    broken=$((broken + $(broken_in "$one" "$out/$name.$one.log")))
    lost=$((lost + $(lost_in "$one" "$out/$name.$one.log")))
  done
  gate=$(grep -hoE 'GATE (passed|failed)' "$out/$name.score.log" 2>/dev/null | tail -n 1)
  worth=$(days_of "$out/$name.score.log" 2>/dev/null | worth_of)
  before=$(awk -F, -v name="$name" '$1 == name { print $2 }' "$landing")
  note=$(awk -v now="$worth" -v before="$before" -v noise="$noise" 'BEGIN {
    if (now == "" || before == "") print "-";
    else if (now < before - noise) print "LOWER";
    else if (now > before + noise) print "higher";
    else print "same" }')
  table+=("$(printf '%-28s %6s %10s  %-11s %6s %6s  %s' "$name" "$broken" "$lost" "${gate:--}" "${worth:--}" "${before:--}" "$note")")
  if [ "$broken" -gt 0 ] || [ "$lost" -gt 0 ] || [ "$gate" = "GATE failed" ]; then bad=1; fi
done
printf '%-28s %6s %10s  %-11s %6s %6s  %s\n' deployment broken "not played" gate worth before note
printf '%s\n' "${table[@]}"
exit "$bad"
