#!/usr/bin/env bash
# Runs daemons of two builds beside each other: plays the tests with real processes, and soak seeds,
# with each daemon that is started taken from the builds in turn. A daemon that starts again is often
# of the other build and reads what the first one stored.
# Usage: scripts/run_beside.sh OLD NEW [SEED...]; the stand-ins, tests and the soak are those of NEW.
# TURNS is the order of the builds, "old new" by default; PROGRAMS the test programs; JOBS how many
# tests or seeds run at once. Closes with one line for the tests and one for the soak.
set -uo pipefail
old=$(realpath "$1")
new=$(realpath "$2")
shift 2
cd "$(dirname "$0")/.." || exit 1
mixed=$(mktemp -d)
trap 'rm -rf "$mixed"' EXIT
mkdir "$mixed/src" "$mixed/out"
for part in standins tests soak; do ln -s "$new/$part" "$mixed/$part"; done
ln -s "$new/src/dunehook" "$mixed/src/dunehook"
cat >"$mixed/src/dunehookd" <<DAEMON
#!/usr/bin/env bash
# Becomes the daemon of the build whose turn it is.
turns=(${TURNS:-old new})
exec 9>>"$mixed/started"
flock 9
count=\$(wc -l <"$mixed/started")
turn=\${turns[\$((count % \${#turns[@]}))]}
echo "\$turn" >&9
exec 9>&-
[ "\$turn" = old ] && exec "$old/src/dunehookd" "\$@"
exec "$new/src/dunehookd" "\$@"
DAEMON
chmod +x "$mixed/src/dunehookd"
export DUNEHOOK_BUILD=$mixed

# play PROGRAM GROUP.NAME: plays one test and prints a line for it.
play() {
  local out=$DUNEHOOK_BUILD/out/$2
  if timeout 120 "$DUNEHOOK_BUILD/tests/$1" -sg "${2%%.*}" -sn "${2#*.}" >"$out" 2>&1; then
    echo "ok   $2"
  else
    echo "FAIL $2"
    tail -n 20 "$out"
  fi
}
export -f play
results=$mixed/results
for program in ${PROGRAMS:-integration_tests gateway_tests}; do
  "$mixed/tests/$program" -ln | tr ' ' '\n' | grep . |
    xargs -P "${JOBS:-2}" -I{} bash -c 'play "$@"' _ "$program" {}
done | tee "$results"
passed=$(grep -c '^ok ' "$results")
failed=$(grep -c '^FAIL ' "$results")
started=$(sort "$mixed/started" | uniq -c | awk '{ printf "%s%s %s", sep, $1, $2; sep = ", " }')
echo "beside: daemons started: $started; $passed tests passed, $failed failed"
soak=0
if [ $# -gt 0 ]; then
  JOBS=${JOBS:-2} scripts/run_soak.sh "$mixed" "$@" || soak=1
fi
[ "$passed" -gt 0 ] && [ "$failed" -eq 0 ] && [ "$soak" -eq 0 ]
