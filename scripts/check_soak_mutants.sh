#!/usr/bin/env bash
# Shows that the soak can fail: switches one mechanism off at a time in a scratch copy of the tree,
# builds the daemon there and expects the soak to find the promise broken. Not part of CI (it builds
# the daemon anew for each). Usage: scripts/check_soak_mutants.sh BUILD; SEEDS sets the seeds for each.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
read -r -a seeds <<<"${SEEDS:-301 302 303 304 305 306}"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
mkdir "$scratch/play"
ln -s "$build/standins" "$scratch/play/standins"
mkdir "$scratch/play/src"
cmake -S "$scratch" -B "$scratch/build" -G Ninja -DDUNEHOOK_TESTS=OFF >/dev/null
missed=0

# check_off PROMISE FILE FROM TO [FAULTS]: the soak must find PROMISE broken where FROM is replaced by
# TO, under faults of the kind that the mechanism is for.
check_off() {
  local promise=$1 file=$scratch/$2
  grep -qF -- "$3" "$file" || { echo "no such mechanism in $2: $3"; exit 2; }
  cp "$file" "$scratch/kept"
  FROM=$3 TO=$4 perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
  cmake --build "$scratch/build" --target dunehookd >"$scratch/out" 2>&1 || { tail "$scratch/out"; exit 2; }
  cp "$scratch/build/src/dunehookd" "$scratch/play/src/dunehookd"
  printf '%s\n' "${seeds[@]}" | DUNEHOOK_BUILD=$scratch/play xargs -P 6 -I{} \
    timeout 300 "$build/soak/soak" --seeds={} --episodes=6 --only="${5:-all}" >"$scratch/out" 2>&1
  if grep -qF "\"promise\":\"$promise\"" "$scratch/out"; then
    echo "found as it should: $promise"
  else
    echo "NOT FOUND without its mechanism: $promise ($2)"
    grep -oE '"promise":"[^"]*"' "$scratch/out" | sort | uniq -c
    missed=$((missed + 1))
  fi
  cp "$scratch/kept" "$file"
}

check_off 'at most once' src/forward/plain_call.h \
  'if (MayRetry() && TakeRetryBudget()) {
      co_return true;' 'if (mSends < 2) {
      co_return true;' runner
check_off 'not run is true' src/forward/plain_call.h 'if (mMayHaveRun) {' 'if (false) {' runner
check_off 'own answer' src/forward/upstream_send.h 'answer.mFacts.mRequestId != aRequestId' 'false' runner
check_off 'whole answer' src/forward/generation_call.h \
  'mExchange->ResetConnection();
      co_return false;' 'co_await mExchange->EndBody();
      co_return false;' runner
check_off 'leaving runner' src/runners/runner_choice.cpp 'return !aRunner.mDraining && ' 'return '
check_off 'planned work cuts nothing' src/forward/gateway.h 'if (mListener->State().mActiveRequests == 0) {' 'if (true) {'
check_off 'nothing is held for nobody' src/forward/upstream_send.h \
  'aExchange.OnDisconnect([connection] { connection->Abort(); });' '' runner
check_off 'crashes end' src/quarantine/crash_ledger.h 'kCrashesToQuarantine = 3;' 'kCrashesToQuarantine = 3000;' poison
check_off 'callers beside a crash' src/quarantine/crash_ledger.cpp 'return EvidenceOf(aOther) > own;' 'return false;' poison
check_off 'all is served again' src/links/config_follower.h \
  'if (mState.mRoutes && config.mVersion <=' 'if (mState.mRoutes && 0 <='
check_off 'no process ends by itself' src/daemon/gateway_main.cpp 'if (!aError) {
      daemon.Drain();' 'if (!aError) {
      std::_Exit(3);'
check_off 'cut daemons serve' src/forward/plain_call.h 'if (!std::exchange(mMayRelay, false)) {' 'if (true) {' cut
echo "soak: $missed mechanisms were off unnoticed"
[ "$missed" -eq 0 ]
