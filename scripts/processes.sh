# Sourced by scripts that run stand-ins and daemons: starts programs in a scratch folder and ends
# just those when the script ends. Sets build, work and pids.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
build=${BUILD_DIR:-build}
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}
trap finish EXIT

# start NAME PROGRAM ARGS: runs a stand-in and leaves its address in the variable NAME.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  for _ in $(seq 200); do
    [ -s "$work/$name.out" ] && break
    sleep 0.02
  done
  printf -v "$name" '%s' "$(sed -n 's/.*"listening":"\([^"]*\)".*/\1/p' "$work/$name.out")"
}
