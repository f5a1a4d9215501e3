/**
 * @file store_contact.h
 * What a daemon knows of the store, by its own calls and by what other daemons tell: whether it
 * answers, how far it is, and whether another daemon reads it for this one.
 */
#pragma once

#include "core/log_func.h"
#include "forward/daemon_link.h"

namespace dunehook {

/** One daemon of each hall reads the store and tells all how far it is. What was told lately stands
 * for a read of one's own: a reader that is silent is passed over within the time in which a
 * leaving runner is still served. */
inline constexpr duration kToldFor = std::chrono::milliseconds(1200);
/** The store counts as away until it has answered for this long: lapsed entries are back by then.
 */
inline constexpr duration kStoreBackFor = std::chrono::milliseconds(2500);
/** Rest after a failed read of the store; doubled up to the longest. */
inline constexpr duration kFirstStoreRest = std::chrono::milliseconds(150);
inline constexpr duration kLongestStoreRest = std::chrono::milliseconds(600);
/** Time between looks at what was told. */
inline constexpr duration kLookAtTold = std::chrono::milliseconds(100);

/** The contact of one daemon with the store. */
class store_contact
{
public:
  store_contact(forward_state& aState, daemon_link& aLink)
    : mState(aState)
    , mLink(aLink)
  {
  }

  /** @return whether a configuration and runners are known. */
  bool Known() const { return mState.mRoutes && mRunnersKnown; }
  /** @return whether the last call was answered. */
  bool Answers() const { return mAnswers; }
  /** @return whether the store was away lately, so that entries may have lapsed unasked. Only this
   * daemon's own calls count: another may be cut off from a store that is well. */
  bool WasAway() const { return mAwayAt != instant{ 0 } && mState.Now() - mAwayAt < kStoreBackFor; }
  /** @return whether others read the store for this daemon, and told lately. */
  bool IsTold() const
  {
    return Known() && !mLink.FirstOfHall() && mState.mToldStoreAt != instant{ 0 } &&
           mState.Now() - mState.mToldStoreAt < kToldFor;
  }
  /** @return the newest version that any daemon has told of. */
  std::uint64_t NewestTold() const
  {
    return std::max(mState.mToldStore.mConfig, mLink.Members().HighestNext());
  }
  /** @return whether another daemon has a newer configuration than this one. */
  bool Behind() const { return mState.mRoutes && NewestTold() > mState.mRoutes->Config().mVersion; }
  /** @return whether the runners must be read by this daemon itself. */
  bool ReadsRunners() const
  {
    return mInDoubt || !IsTold() || mState.mToldStore.mRunners > mState.mRunners.End();
  }
  /** @return whether a read of the runners by this daemon was answered since an instant. */
  bool RunnersAnsweredSince(instant aInstant) const { return mRunnersAnsweredAt >= aInstant; }

  /** Notes whether the store answered a call. */
  void NoteAnswer(bool aAnswered, std::string_view aCall)
  {
    mState.mMetrics.CountStoreCall(aCall, aAnswered);
    if (!aAnswered) {
      mAwayAt = mState.Now();
    }
    if (aAnswered != mAnswers) {
      mAnswers = aAnswered;
      LogEvent(
        log_level::eInfo, aAnswered ? "store_regained" : "store_lost", { { "call", aCall } });
    }
  }
  /** Notes whether a read got no answer in its time: the store may be silent to this daemon. */
  void NoteDoubt(bool aInDoubt) { mInDoubt = aInDoubt; }
  /** Notes an answered read of the runners. What the store says goes before what was told. */
  void NoteRunners(bool aAny)
  {
    mRunnersKnown = mRunnersKnown || aAny;
    mRunnersAnsweredAt = mState.Now();
    mState.mListedAt = mRunnersAnsweredAt;
    mState.mToldStore.mRunners = std::min(mState.mToldStore.mRunners, mState.mRunners.End());
  }
  /** Notes the version that a read of the newest configuration gave. */
  void NoteConfig(std::uint64_t aVersion)
  {
    mState.mToldStore.mConfig = std::min(mState.mToldStore.mConfig, aVersion);
  }
  /** Tells the others how far the store is, if this daemon reads it for them. */
  void TellPosition()
  {
    if (!Known() || !mLink.FirstOfHall()) {
      return;
    }
    run_message message;
    message.mStore = store_position{ mState.mRunners.End(), mState.mRoutes->Config().mVersion };
    mLink.Tell(std::move(message));
  }

private:
  forward_state& mState;           ///< Shared.
  daemon_link& mLink;              ///< What other daemons tell.
  instant mAwayAt{ 0 };            ///< Last failed call; zero if none.
  instant mRunnersAnsweredAt{ 0 }; ///< When a read of the runners was last answered.
  bool mRunnersKnown = false;      ///< A listing with runners was read.
  bool mAnswers = true;            ///< The last call was answered.
  bool mInDoubt = false; ///< The last read of the configuration got no answer in its time.
};

} // namespace dunehook
