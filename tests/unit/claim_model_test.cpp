/**
 * @file claim_model_test.cpp
 * Exhaustive check of the claim protocol on the real replicated state. The model has two daemons, a
 * caller that retries, an append whose answer is lost, and a daemon that may pause before any step
 * and is restarted once. Every interleaving within these bounds is explored. Invariants: at most
 * one call runs under a key, and a call that was reported as not run never runs.
 */
#include "core/hash_func.h"
#include "resources/claim_func.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <unordered_set>

using namespace dunehook;

namespace {

const std::string kKey = "team/route/key";
/** Most appends of one call by each daemon; the second is the repeat after a lost answer. */
constexpr std::array<int, 2> kMaxAppends{ 2, 1 };
/** Most restarts of each daemon. */
constexpr std::array<int, 2> kMaxRestarts{ 1, 0 };

/** Phase of a daemon's call. */
enum class call_phase
{
  eClaiming, ///< The daemon may append the claim, read the log, send the call or give up.
  eSent,     ///< The call was sent.
  eNotRun,   ///< The caller was told that the call did not run.
};

/** A daemon with one call under the key. */
struct model_daemon
{
  std::size_t mIndex = 0;                    ///< Index of the daemon.
  attempt_id mAttempt;                       ///< Its call.
  call_phase mPhase = call_phase::eClaiming; ///< Phase of the call.
  int mAppends = 0;                          ///< Claims appended by this run of the daemon.
  int mRestarts = 0;                         ///< Restarts so far.
  replicated_state mState;                   ///< State after the records that it has read.
};

/** State of the log, both daemons and the calls. */
struct model_state
{
  std::vector<log_record> mLog;         ///< The platform's log.
  std::array<model_daemon, 2> mDaemons; ///< The daemons.
  std::set<attempt_id> mRuns;           ///< Calls that ran.
  std::set<attempt_id> mReportedNotRun; ///< Calls reported as not run.
  int mRunCount = 0;                    ///< Number of runs under the key.
};

/** Explores all interleavings of the daemons' steps. */
class model
{
public:
  explicit model(bool aChecksIncarnation)
    : mChecksIncarnation(aChecksIncarnation)
  {
  }

  void Explore(const model_state& aState)
  {
    if (mViolations > 0 || !mVisited.insert(HashBytes(Describe(aState))).second) {
      return;
    }
    Check(aState);
    for (std::size_t index = 0; index < aState.mDaemons.size(); ++index) {
      Step(aState, index, &model::Append);
      Step(aState, index, &model::Read);
      Step(aState, index, &model::Send);
      Step(aState, index, &model::GiveUp);
      Step(aState, index, &model::Replace);
    }
  }

  std::size_t VisitedStates() const { return mVisited.size(); }
  int Violations() const { return mViolations; }

private:
  using step = bool (model::*)(model_state&, model_daemon&);

  void Step(const model_state& aState, std::size_t aIndex, step aStep)
  {
    model_state next = aState;
    if ((this->*aStep)(next, next.mDaemons[aIndex])) {
      Explore(next);
    }
  }

  static void AppendRecord(model_state& aState, const command& aCommand)
  {
    aState.mLog.push_back({ aState.mLog.size() + 1, 1000, EncodeCommand(aCommand) });
  }

  /** Appends the claim. A lost answer allows the same next steps, so it isn't modelled apart. */
  bool Append(model_state& aState, model_daemon& aDaemon)
  {
    if (aDaemon.mPhase != call_phase::eClaiming ||
        aDaemon.mAppends >= kMaxAppends[aDaemon.mIndex]) {
      return false;
    }
    ++aDaemon.mAppends;
    AppendRecord(aState, claim_command{ kKey, aDaemon.mAttempt });
    return true;
  }

  bool Read(model_state& aState, model_daemon& aDaemon)
  {
    if (aDaemon.mState.NextOffset() > aState.mLog.size()) {
      return false;
    }
    aDaemon.mState.Apply(aState.mLog[aDaemon.mState.NextOffset() - 1]);
    return true;
  }

  bool Send(model_state& aState, model_daemon& aDaemon)
  {
    if (aDaemon.mPhase != call_phase::eClaiming || !MaySend(aDaemon)) {
      return false;
    }
    aDaemon.mPhase = call_phase::eSent;
    aState.mRuns.insert(aDaemon.mAttempt);
    ++aState.mRunCount;
    return true;
  }

  bool MaySend(const model_daemon& aDaemon) const
  {
    if (mChecksIncarnation) {
      return HoldsKey(aDaemon.mState, kKey, aDaemon.mAttempt);
    }
    const auto held = aDaemon.mState.ClaimOf(kKey); // The rule without the incarnation check.
    return held && held->mAttempt.mCounter == aDaemon.mAttempt.mCounter;
  }

  bool GiveUp(model_state& aState, model_daemon& aDaemon)
  {
    if (aDaemon.mPhase != call_phase::eClaiming) {
      return false;
    }
    aDaemon.mPhase = call_phase::eNotRun;
    aState.mReportedNotRun.insert(aDaemon.mAttempt);
    AppendRecord(aState, release_command{ kKey, aDaemon.mAttempt });
    return true;
  }

  /** Restarts the daemon: the new run has an empty state and handles the caller's retry. */
  bool Replace(model_state& /*aState*/, model_daemon& aDaemon)
  {
    if (aDaemon.mRestarts >= kMaxRestarts[aDaemon.mIndex]) {
      return false;
    }
    const std::uint64_t run = aDaemon.mAttempt.mIncarnation.mValue + 100;
    const std::uint64_t counter = aDaemon.mAttempt.mCounter;
    const int restarts = aDaemon.mRestarts + 1;
    aDaemon =
      model_daemon{ aDaemon.mIndex, { { run }, counter }, call_phase::eClaiming, 0, restarts, {} };
    return true;
  }

  void Check(const model_state& aState)
  {
    bool wronglyReported = false;
    for (const attempt_id& attempt : aState.mReportedNotRun) {
      wronglyReported = wronglyReported || aState.mRuns.contains(attempt);
    }
    mViolations += aState.mRunCount > 1 || wronglyReported ? 1 : 0;
  }

  static std::string Describe(const model_state& aState)
  {
    std::string text = std::to_string(aState.mRunCount) + ";";
    for (const log_record& record : aState.mLog) {
      text += record.mData;
    }
    for (const model_daemon& one : aState.mDaemons) {
      text += ToText(one.mAttempt) + ":" + std::to_string(static_cast<int>(one.mPhase)) + ":" +
              std::to_string(one.mAppends) + ":" + std::to_string(one.mState.NextOffset()) + ";";
    }
    return text;
  }

  bool mChecksIncarnation; ///< Whether to use HoldsKey(), which compares the incarnation too.
  std::unordered_set<std::uint64_t> mVisited; ///< Hashes of the states explored.
  int mViolations = 0;                        ///< States that violate an invariant.
};

model_state
Start()
{
  model_state state;
  state.mDaemons[1].mIndex = 1;
  state.mDaemons[0].mAttempt = { { 1 }, 1 };
  state.mDaemons[1].mAttempt = { { 2 }, 2 };
  return state;
}

} // namespace

TEST_GROUP(claim_model){};

TEST(claim_model, EveryInterleavingRunsACallAtMostOnce)
{
  model checked(true);
  checked.Explore(Start());
  LONGS_EQUAL(0, checked.Violations());
  CHECK_TRUE(checked.VisitedStates() > 10000);
}

TEST(claim_model, WithoutTheIncarnationCheckTheFaultIsFound)
{
  model checked(false);
  checked.Explore(Start());
  CHECK_TRUE(checked.Violations() > 0);
}
