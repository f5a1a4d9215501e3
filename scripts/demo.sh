#!/usr/bin/env bash
# Starts three daemons with stand-ins on loopback, applies the example resources, sends practice
# turns, a placement review and a lesson record, shows the answers and the decision lines, and
# stops everything it started.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

say() { printf '\n== %s\n' "$*"; }

say "stand-ins: a platform, 2 prefill engines, 2 decode engines, a service"
start platform "$build/standins/standin_platform"
for n in 1 2; do
  start "prefill$n" "$build/standins/standin_engine"
  start "decode$n" "$build/standins/standin_engine" --weight_store="$platform"
done
start records "$build/standins/standin_service"

say "three daemons"
printf 'peer-secret-of-the-demo\n' >"$work/peer.secret"
printf 'operator-token-of-the-demo\n' >"$work/operator.token"
hosts=""
for n in 1 2 3; do
  cat >"$work/daemon$n.toml" <<TOML
[daemon]
name = "entry-$n"
hall = "duluth-hall"
[callers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
token_file = "$work/operator.token"
[peers]
listen = "127.0.0.1:0"
secret_file = "$work/peer.secret"
[platform]
log = "$platform"
host_list = "$platform"
TOML
  "$build/src/dunehookd" --settings="$work/daemon$n.toml" >"$work/daemon$n.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '"event":"listening"' "$work/daemon$n.log" 2>/dev/null && break
    sleep 0.02
  done
  address() { sed -n 's/.*"event":"listening".*/&/p' "$work/daemon$n.log" | sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }
  printf -v "callers$n" '%s' "$(address callers)"
  printf -v "operators$n" '%s' "$(address operators)"
  hosts+="{\"name\":\"entry-$n\",\"address\":\"$(address peers)\",\"pool\":\"dunehook\",\"hall\":\"duluth-hall\",\"state\":\"live\"},"
done
host() { printf '{"name":"%s","address":"%s","pool":"%s","hall":"duluth-hall","state":"live"}' "$1" "$2" "$3"; }
hosts+="$(host prefill-1 "$prefill1" tutor-prefill),$(host prefill-2 "$prefill2" tutor-prefill),"
hosts+="$(host decode-1 "$decode1" tutor-decode),$(host decode-2 "$decode2" tutor-decode),"
hosts+="$(host records-1 "$records" lesson-records)"
curl -sS -X PUT "http://$platform/hosts" -d "{\"hosts\":[$hosts]}" >/dev/null
for n in 1 2 3; do
  callers=callers$n
  for _ in $(seq 200); do
    curl -fs "http://${!callers}/readyz" >/dev/null && break
    sleep 0.05
  done
done

cli() { "$build/src/dunehook" -server="$operators1" -token_file="$work/operator.token" "$@"; }
say "dunehook apply -f=examples/lakeshore.json"
cli -f=examples/lakeshore.json apply
say "dunehook status"
cli status
sleep 1

say "a practice turn, streamed"
"$build/standins/standin_caller" --daemons="$callers2" --calls=1 --tokens=4 --show
say "a placement review"
essay=$(printf 'The level guide says what each level can do. %.0s' $(seq 200))
curl -sS -i "http://$callers3/v1/completions" -d "{\"model\":\"tutor-review\",\"prompt\":\"$essay\",\"max_tokens\":2}"
say "a lesson record, twice under one key: it runs once"
key="$(date +%s)-lesson-7"
for callers in "$callers1" "$callers2"; do
  curl -sS -i "http://$callers/records" -H "Idempotency-Key: $key" -d '{"record":"lesson-7"}'
  printf '\n'
done
say "100 practice turns over three daemons, each text checked"
"$build/standins/standin_caller" --daemons="$callers1,$callers2,$callers3" --calls=100 --rate=50
say "some decision lines"
grep -h -E '"event":"(placement|route)"' "$work"/daemon*.log | tail -n 6
say "a planned stop of the three daemons"
for pid in "${pids[@]: -3}"; do kill "$pid"; done
wait "${pids[@]: -3}"
grep -h '"event":"stopped"' "$work"/daemon*.log
say "demo done"
