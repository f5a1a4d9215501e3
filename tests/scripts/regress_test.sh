#!/usr/bin/env bash
# Tests of scripts/regress.sh with a program in the place of the users' bench that prints what the bench
# prints. Closes with "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
passed=0
failed=0

# expect NAME COMMAND...: counts a test.
expect() {
  local name=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
    echo "ok   regress.$name"
  else
    failed=$((failed + 1))
    echo "FAIL regress.$name"
  fi
}

cat >"$folder/bench" <<'B'
#!/usr/bin/env bash
echo "$1" >>"$CALLS"
head="day                  own/srv  score  worth served refused failed  weakest part"
case $1 in
  score)
    echo "$head"
    echo "quiet-1              295/74   1.00  0.900  0.9   0.0  0.0  worst windows 0.4"
    echo "trouble-1            295/74   1.00  0.500  0.9   0.0  0.0  worst windows 0.4"
    echo "scale-1              295/74   1.00  0.700  0.9   0.0  0.0  worst windows 0.4${SCORE_BROKEN:-}"
    echo "fresh-1b2c           295/74   1.00  0.100  0.9   0.0  0.0  worst windows 0.4"
    echo "${GATE:-GATE passed}"
    ;;
  hunt)
    [ -n "${HUNT_ENDS_EARLY:-}" ] && exit 1
    echo "$4 days on it, ${HUNT_BROKEN:-0} with a rule broken"
    echo "trouble-2 --seed 5    295/74   0.95  0.1  0.8   0.0  0.0  worst windows 0.3"
    ;;
esac
B
chmod +x "$folder/bench"
echo >"$folder/lakeshore-lessons-large.toml"
run() {
  OUT=$folder/$1 CALLS=$folder/$1.calls FLEETBENCH=$folder/bench STEPS="score hunt" \
    scripts/regress.sh "$folder/lakeshore-lessons-large.toml" >"$folder/$1.txt" 2>&1
}
row() { grep -E '^lakeshore-lessons-large  ' "$folder/$1.txt"; }

run calm
expect ACalmRunPasses test $? -eq 0
expect WorthIsThatOfTheStandardDaysWithTrouble grep -qE ' 0 +0 +GATE passed +0\.600 ' <(row calm)
expect AWorthBelowTheLastLandingsIsSaid grep -q 'LOWER' <(row calm)
expect EachDayHasItsLine test "$(grep -c 'lakeshore-lessons-large score: ' "$folder/calm.txt")" -eq 4
run calm
expect WhatHasEndedIsNotPlayedAgain test "$(grep -c score "$folder/calm.calls")" -eq 1
HUNT_BROKEN=3 run hunted
expect ARuleBrokenInAHuntFails test $? -eq 1
expect ABrokenDayOfAHuntIsCounted grep -qE '  +3 +0 +GATE' <(row hunted)
SCORE_BROKEN="  BROKEN: CONFIG 2" run scored
expect ARuleBrokenInAScoreFails test $? -eq 1
GATE="GATE failed" run gate
expect AMissedGateFails test $? -eq 1
HUNT_ENDS_EARLY=1 run early
expect AHuntThatDoesNotEndFails test $? -eq 1
FLEETBENCH='' scripts/regress.sh 2>/dev/null
expect NoProgramIsAnError test $? -eq 2
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
