#!/usr/bin/env bash
# Shows that the failure tests can fail: switches mechanisms off in a scratch copy of the tree, and
# expects the tests that are about them to fail there. Not part of CI (it builds the tree anew).
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
cd "$scratch"

# switch_off FILE FROM TO: replaces a line's text; the mechanism must be there.
switch_off() {
  grep -qF -- "$2" "$1" || { echo "no such mechanism in $1: $2"; exit 2; }
  FROM=$2 TO=$3 perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$1"
}
switch_off src/control/cell_owner.cpp 'ApplyEvent(*cell, incarnation_ended{ aIncarnation });' '(void)aIncarnation;'
switch_off src/control/cell_owner.cpp 'if (co_await IsAbandoned(attempt, age)) {' 'if (false) {'
switch_off src/callers/completion_session.cpp 'if (aEngine.mId) {' 'if (false) {'
switch_off src/decide/request.cpp 'aOut.mOrders.emplace_back(cancel_work' 'if (false) aOut.mOrders.emplace_back(cancel_work'
switch_off src/runners/engine_client.cpp '|| event.value("a", std::string()) != mAttempt' ''
switch_off src/callers/completion_session.cpp 'co_await TakeOverKey();' ''
switch_off src/resources/claim_func.h 'return held && held->mAttempt == aAttempt;' 'return held.has_value();'
switch_off src/callers/service_call.cpp 'if (const auto held = mFront.mLog.State().ClaimOf(key)) {' 'if (const auto held = mFront.mLog.State().ClaimOf("")) {'
switch_off src/callers/service_call.cpp 'co_await RespondFailed(true);' 'co_await RespondFailed(false);'
switch_off src/callers/service_call.cpp 'if (age > kClaimWindowMs) {' 'if (false) {'
switch_off src/decide/engine_base.h 'return !mInfo.mLeaving && aNow >= mAvoidUntil;' 'return aNow >= mAvoidUntil;'
switch_off src/daemon/router.cpp 'while (mFront.mCallsUnderWay > 0 && Now() < deadline) {' 'while (false) {'
switch_off src/control/log_follower.cpp 'if (mMembers.HighestNextOffset() <= before) {' 'if (true) {'
switch_off src/control/log_follower.cpp 'if (!due() || !mLogReachable) {' 'if (true) {'
switch_off src/resources/replicated_state.cpp 'if (version != aExpectedVersion) {' 'if (false) {'

cmake -S . -B build -G Ninja >/dev/null
cmake --build build >build.out 2>&1 || { tail -n 20 build.out; exit 2; }
missed=0
seen=0
while read -r group name; do
  if timeout 100 build/tests/integration_tests -sg "$group" -sn "$name" >test.out 2>&1; then
    echo "PASSED without its mechanism: $group.$name"
    missed=$((missed + 1))
  else
    echo "failed as it should: $group.$name"
    seen=$((seen + 1))
  fi
done <<'TESTS'
holds CallerClosesDuringPrefill
holds CallerClosesDuringDecode
holds DaemonDiesDuringDecode
holds DaemonAndTheOwnerOfTheEnginesDieTogether
answers AnAnswerOfAnotherAttemptIsDroppedAndTheRightOneIsGiven
answers ARetryThroughAnotherDaemonEndsTheFirstAttempt
once ManyRetriesAtOnceThroughAllDaemonsRunOnce
once AKeyUsedThroughTwoDaemonsRunsOnceAndTheAnswerIsReplayed
once EachPointOfACutGivesATrueOutcome
once AKeyOlderThanTheWindowIsRefusedEvenWhenItsClaimIsForgotten
stop ALeavingEngineFinishesItsStreamsAndGetsNoNewWorkWithinThreeSeconds
stop ADrainingDaemonRunsItsStreamsToTheirEnd
config ADaemonCutOffFromTheLogKeepsUpThroughTheOthers
config ADaemonStartedDuringAnOutageLearnsAllFromTheOthers
config RecordsPastRetentionLiveOnInTheSnapshot
config OfTwoOperatorsRacingOneWinsEverywhere
TESTS
echo "$seen failed as they should, $missed passed without their mechanism"
[ "$missed" -eq 0 ]
