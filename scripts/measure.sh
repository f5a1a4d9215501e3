#!/usr/bin/env bash
# Measures what a daemon adds: time to the first token through one and through three daemons
# against the same calls sent straight to the engines' stand-ins, and tokens a second of one core.
# Everything runs on loopback, in one run, with engines that add no delay of their own.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

quick="--tokens_per_second=0 --step_ms=0 --link_bytes_per_second=0 --slots=400"
start platform "$build/standins/standin_platform"
start prefill "$build/standins/standin_engine" $quick
start decode "$build/standins/standin_engine" $quick
echo secret >"$work/secret"
hosts=""
daemon() {
  local n=$1
  printf '[daemon]\nname = "entry-%s"\nhall = "h"\n[callers]\nlisten = "127.0.0.1:0"\n[operators]\nlisten = "127.0.0.1:0"\ntoken_file = "%s"\n[peers]\nlisten = "127.0.0.1:0"\nsecret_file = "%s"\n[platform]\nlog = "%s"\nhost_list = "%s"\n' \
    "$n" "$work/secret" "$work/secret" "$platform" "$platform" >"$work/$n.toml"
  "$build/src/dunehookd" --settings="$work/$n.toml" >"$work/$n.log" 2>&1 &
  pids+=($!)
  printf -v "pid$n" '%s' "$!"
  until grep -q '"event":"listening"' "$work/$n.log" 2>/dev/null; do sleep 0.02; done
  local line
  line=$(grep '"event":"listening"' "$work/$n.log")
  printf -v "callers$n" '%s' "$(sed 's/.*"callers":"\([^"]*\)".*/\1/' <<<"$line")"
  printf -v "operators$n" '%s' "$(sed 's/.*"operators":"\([^"]*\)".*/\1/' <<<"$line")"
  hosts+="{\"name\":\"entry-$n\",\"address\":\"$(sed 's/.*"peers":"\([^"]*\)".*/\1/' <<<"$line")\",\"pool\":\"dunehook\",\"hall\":\"h\",\"state\":\"live\"},"
}
publish() {
  local runners="{\"name\":\"p\",\"address\":\"$prefill\",\"pool\":\"tutor-prefill\",\"hall\":\"h\",\"state\":\"live\"},{\"name\":\"d\",\"address\":\"$decode\",\"pool\":\"tutor-decode\",\"hall\":\"h\",\"state\":\"live\"}"
  curl -sS -X PUT "http://$platform/hosts" -d "{\"hosts\":[$hosts$runners]}" >/dev/null
}
ready() { until curl -fs "http://$1/readyz" >/dev/null; do sleep 0.05; done; }
daemon 1
publish
ready "$callers1"
perl -0pe 's/,\s*\{"kind": "model_version".*\z/\n]\n/s; s/"slots": 20/"slots": 400/; s/8000\}/1000000}/;
  s/5000000000\}/1000000000000}/; s/"requests_per_second": 500/"requests_per_second": 100000/' \
  examples/lakeshore.json >"$work/resources.json"
"$build/src/dunehook" -server="$operators1" -token_file="$work/secret" -f="$work/resources.json" apply >/dev/null
sleep 1.5
caller() { "$build/standins/standin_caller" --calls=1000 --rate=200 --tokens=20 --prompt_bytes=200 "$@"; }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
for round in 1 2 3; do
  echo "round $round straight:        $(caller --prefill="$prefill" --decode="$decode")"
  echo "round $round one daemon:      $(caller --daemons="$callers1")"
done
before=$(ticks "$pid1")
summary=$("$build/standins/standin_caller" --daemons="$callers1" --calls=100 --rate=50 --tokens=4000 --prompt_bytes=200)
after=$(ticks "$pid1")
echo "tokens through one daemon: $summary"
awk -v t="$(sed 's/.*"tokens":\([0-9]*\).*/\1/' <<<"$summary")" -v c=$((after - before)) -v hz="$(getconf CLK_TCK)" \
  'BEGIN { printf "tokens a second of one core: %.0f (%d tokens, %.2f s of processor time)\n", t / (c / hz), t, c / hz }'
daemon 2
daemon 3
publish
ready "$callers2"
ready "$callers3"
sleep 1
for round in 1 2 3; do
  echo "round $round straight:        $(caller --prefill="$prefill" --decode="$decode")"
  echo "round $round three daemons:   $(caller --daemons="$callers1,$callers2,$callers3")"
done
