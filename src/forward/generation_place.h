/**
 * @file generation_place.h
 * The placement of one generation: finds engines with room, reserves the decode engine's memory,
 * and keeps the run in the placement tables of this daemon and of the daemons that place until it
 * ends.
 */
#pragma once

#include "forward/engine_calls.h"
#include "forward/suspect_trial.h"

namespace dunehook {

/** Time between placement attempts while a request waits. */
inline constexpr duration kPlacementRetryInterval = std::chrono::milliseconds(15);
/** A reservation lasts this much longer than the expected end of the prefill. */
inline constexpr duration kReservationSlack = std::chrono::milliseconds(600);
/** Time for the connection and the call of one step of a generation. */
inline constexpr duration kStepTime = std::chrono::milliseconds(500);

/** Placement of one generation. */
template<wire_format Wire>
class generation_place
{
public:
  /** @param aRank priority of the route; 0 is the most urgent. */
  generation_place(forward_state& aState,
                   caller_exchange& aExchange,
                   const request_facts& aFacts,
                   std::uint32_t aRank,
                   suspect_trial& aTrial)
    : mState(aState)
    , mEngines(aState)
    , mExchange(aExchange)
    , mRequestId(aFacts.mId)
    , mPromptKey(aFacts.mPromptKey)
    , mRank(aRank)
    , mTrial(aTrial)
  {
  }

  /**
   * Finds a placement, and waits a little if there's none.
   * @param aFirstEventBy when the first event is late.
   * @param aTarget time to the first event of a new request. A returned request is late already,
   * and is placed where its prompt is processed as quickly as that of a new one.
   * @param aWait how long the request may wait; no further attempt after that.
   * @return false if there's none, or the caller has disconnected.
   */
  asio::awaitable<bool> Find(generation_demand& aDemand,
                             engine_traits aTraits,
                             instant aFirstEventBy,
                             duration aTarget,
                             place_wait aWait)
  {
    const instant began = mState.Now();
    mService = aDemand.mService;
    for (;;) {
      const duration spent = mState.Now() - began;
      mHeld = false;
      aDemand.mFirstEventWithin = aDemand.mReturned ? aTarget : aFirstEventBy - mState.Now();
      aDemand.mWaited = WaitedShare(spent, aWait.Of(aDemand.mReturned));
      const placement_answer answer = co_await Choose(aDemand, aTraits, aWait.After(spent));
      if (mExchange.Disconnected()) {
        co_return false;
      }
      if (answer.mChoice) {
        mChoice = *answer.mChoice;
        mPlacementTime = mState.Now() - began;
        const bool reserved = co_await Reserve(aDemand, aTraits.mLongestHold);
        if (reserved || mExchange.Disconnected()) {
          co_return reserved;
        }
        if (mTrial.WasBusy()) { // Other engines may be free of suspected requests.
          continue;
        }
        mTrial.End();
        // An unreachable engine says nothing about the memory of the others, so the wait stays
        // unchanged.
        if (mEngineRefused) {
          aWait = aWait.Refused(aTarget);
        }
      }
      mTrial.ForgetBusy();
      if (mTrial.WasDenied()) {
        const bool again = co_await mTrial.WaitForRetry(aWait.mReturned);
        if (!again || mExchange.Disconnected()) {
          mFreeIn = mTrial.Wait();
          co_return false;
        }
        continue;
      }
      if (!mEngineRefused && mState.IsCutOff(mService)) { // Waiting doesn't help.
        mFreeIn = kReachProbeInterval;
        mNoPlace = no_place::eNoEngine;
        co_return false;
      }
      const duration wait = std::max<duration>(
        kPlacementRetryInterval, std::min(answer.mFreeIn, kPlacementRetryInterval * 3));
      const duration most = mState.mStopping ? aWait.mNew : aWait.Of(aDemand.mReturned);
      const bool refused =
        !answer.mChoice && !mPlacedLocally; // It has already waited at the daemon that places.
      if (refused || mState.Now() + wait > began + most) {
        mFreeIn = answer.mFreeIn;
        mNoPlace = answer.mChoice ? no_place::eNoMemory : answer.mReason;
        co_return false;
      }
      co_await Sleep(wait);
      if (mExchange.Disconnected()) {
        co_return false;
      }
    }
  }

  /** Removes the run from the table and tells the daemons that place. */
  void EndRun()
  {
    if (!mPlaced) {
      return;
    }
    mPlaced = false;
    mState.mPlacement.End(mRun);
    if (mAnnounced) {
      mAnnounced = false;
      run_message message;
      message.mEnded.push_back(mRun);
      mState.mTellPlacers(std::move(message));
    }
  }

  /** Releases the reservation, if it wasn't used. */
  void Release()
  {
    if (!mReservation.mId.empty()) {
      mEngines.Release(mChoice.mDecode, mDecodeAddress, mReservation);
      mReservation = {};
    }
  }

  /** @return the reservation's id for the request that uses it, empty if there's none. */
  std::string UseReservation() { return std::exchange(mReservation, {}).mId; }

  /** @return the right to send to the prefill engine. @pre the choice has one. */
  const send_permit& ReadPermit() const { return *mReadPermit; }
  /** @return the right to send the run to the decode engine. @pre Find() returned true. */
  const send_permit& RunPermit() const { return *mRunPermit; }
  /** @return whether the last attempt failed because a limit held it back. */
  bool WasHeld() const { return mHeld; }
  const placement_choice& Choice() const { return mChoice; }
  const endpoint& DecodeAddress() const { return mDecodeAddress; }
  /** @return the decode engine's id in service discovery. */
  const std::string& DecodeName() const { return mDecodeName; }
  /** @return its software as it was when its memory was reserved. */
  software_id DecodeSoftware() const { return mDecodeSoftware; }
  /** @return the version of that, as its entry stated it. */
  const std::string& DecodeSoftwareText() const { return mDecodeSoftwareText; }
  /** @return why the last attempt found no placement. */
  no_place NoPlace() const { return mNoPlace; }
  /** @return the expected time until there's room, after an attempt that found none. */
  duration FreeIn() const { return mFreeIn; }
  /** @return whether this daemon chose by itself, because no daemon that places answered. */
  bool PlacedLocally() const { return mPlacedLocally; }
  /** @return the time that the last successful choice of engines took, waits included. */
  duration PlacementTime() const { return mPlacementTime; }
  /** @return the number of reservations that engines did not grant. */
  std::uint32_t Refusals() const { return mRefusals; }

private:
  /** Asks a daemon that places; chooses locally if none answers. */
  asio::awaitable<placement_answer> Choose(generation_demand& aDemand,
                                           const engine_traits& aTraits,
                                           place_wait aWait)
  {
    const instant now = mState.Now();
    aDemand.mExcluded = mState.mRunners.Barred(now);
    for (const auto& [runner, until] : mState.mPermits.Held(mRank, now)) {
      aDemand.mExcluded.push_back(runner);
    }
    aDemand.mExcluded.insert(aDemand.mExcluded.end(), mTrial.Busy().begin(), mTrial.Busy().end());
    if (mState.mSettings.mPlacement.mPlacers) {
      place_request question;
      question.mDemand = aDemand;
      question.mPromptKey = mPromptKey;
      question.mRank = mRank;
      const bool waits = mTrial.Busy().empty() && !mState.IsCutOff(mService);
      question.mWait = waits ? aWait : place_wait{};
      std::function<bool()> gone = [this] { return mExchange.Disconnected(); };
      const std::optional<place_reply> reply =
        co_await mState.mAskPlacer(std::move(question), std::move(gone));
      mPlacedLocally = !reply.has_value();
      if (reply) {
        aDemand.mReturned = reply->mReturned;
        mAnnounced = reply->mState == place_state::ePlaced;
        mRun = aDemand.mRun;
        mPlaced = mAnnounced;
        placement_answer answer;
        answer.mReason = reply->mReason;
        answer.mFreeIn = reply->mFreeIn;
        if (mAnnounced) {
          answer.mChoice = reply->mChoice;
        }
        co_return answer;
      }
      aDemand.mFirstEventWithin -= mState.Now() - now;
    }
    const placement_answer answer =
      mState.mPlacement.Choose(aDemand, aTraits, mState.mRunners, mState.Now());
    if (answer.mChoice) {
      mState.mRunners.NoteProbes(answer.mChoice->Engines(), mState.Now());
    }
    co_return answer;
  }

  /** Adds the run to the table and reserves memory at the decode engine. */
  asio::awaitable<bool> Reserve(const generation_demand& aDemand, duration aLongestHold)
  {
    const runner_state* const decode = mState.mRunners.Find(mChoice.mDecode);
    // The daemon that chose it may lack what this daemon knows.
    if (decode == nullptr) {
      NoteFull();
    }
    if (decode == nullptr || !mState.mRunners.MayReceive(*decode, mState.Now())) {
      EndRun();
      co_return false;
    }
    mDecodeAddress = decode->mEntry.mAddress;
    mDecodeName = decode->mEntry.mName;
    mDecodeSoftware = SoftwareOf(decode->mEntry);
    mDecodeSoftwareText = decode->mEntry.mSoftware;
    // Another daemon chose it by its own list of runners.
    if (!RunsSoftware(decode->mEntry, aDemand.mSoftware)) {
      EndRun();
      co_return false;
    }
    std::vector<service_runner_id> engines = mChoice.Engines();
    const bool trial = co_await mTrial.Begin(std::move(engines));
    if (!trial || mExchange.Disconnected()) {
      EndRun();
      co_return false;
    }
    const duration life = std::min(mChoice.mUntilRead + kReservationSlack, aLongestHold);
    const bool permitted = co_await TakePermits(life);
    mHeld = !permitted;
    if (mHeld || mExchange.Disconnected()) {
      EndRun();
      co_return false;
    }
    mReservation = {};
    mEngineRefused = false;
    const run_record run = RunOf(aDemand, mChoice, 0, mState.Now());
    mRun = run.mRun;
    mState.mPlacement.Begin(run, mState.Now());
    mPlaced = true;
    if (!mState.mSettings.mPlacement.mReserve) {
      Announce(run);
      co_return true;
    }
    const std::uint32_t tokens = mState.mPlacement.ReservedTokens(aDemand);
    const send_permit permit = mRunPermit->Split();
    const result<reservation> granted =
      co_await mEngines.Reserve(mChoice.mDecode, permit, mDecodeAddress, tokens, life);
    if (!granted) {
      NoteNoReservation(granted.error(), tokens);
      EndRun();
      co_return false;
    }
    mReservation = granted.value();
    mState.NoteReserved(mChoice.mDecode);
    mState.mMetrics.CountPlace("granted");
    Announce(run);
    co_return true;
  }

  /**
   * Gets the right to send all steps of the generation before the first one: a prompt that is read
   * and can't be run is wasted.
   * @param aLife lifetime of the reservation, in which the run begins.
   */
  asio::awaitable<bool> TakePermits(duration aLife)
  {
    if (mChoice.mPrefill) {
      const permit_demand read{ *mChoice.mPrefill, 1, mRank, 2 * kStepTime };
      const result<send_permit> permit = co_await mState.mTakePermit(read);
      if (!permit) {
        co_return false;
      }
      mReadPermit = permit.value();
    }
    const std::uint32_t sends = mState.mSettings.mPlacement.mReserve ? 2 : 1;
    const permit_demand run{ mChoice.mDecode, sends, mRank, aLife + kStepTime };
    const result<send_permit> permit = co_await mState.mTakePermit(run);
    if (!permit) {
      co_return false;
    }
    mRunPermit = permit.value();
    co_return true;
  }

  /** Records that the decode engine granted no reservation. */
  void NoteNoReservation(const std::error_code& aError, std::uint32_t aTokens)
  {
    const bool reached = aError == errc::eRunnerRefused || aError == errc::eBadRequest;
    ++mRefusals;
    mEngineRefused = reached;
    if (!reached && mState.IsCutOff(mService)) { // Other daemons may reach the engine.
      mState.mRunners.NoteOutcome(mChoice.mDecode, send_outcome::eUnreachable, mState.Now());
      mState.mPlacement.NoteFull(mChoice.mDecode, mState.Now());
    } else {
      NoteFull();
      if (!reached) {
        mState.NoteEngine(mChoice.mDecode, send_outcome::eUnreachable);
      }
    }
    mState.mMetrics.CountPlace(reached ? "refused" : "unreachable");
    mState.LogDecision(log_level::eWarning,
                       "reservation_refused",
                       mRequestId,
                       { { "runner", mDecodeName },
                         { "reached", reached },
                         { "tokens", aTokens },
                         { "expected_peak", mChoice.mPeakShare } });
  }

  /** Records, here and at the daemons that place, that the chosen engine has no room now. */
  void NoteFull()
  {
    mState.mPlacement.NoteFull(mChoice.mDecode, mState.Now());
    run_message message;
    message.mFull.push_back(mChoice.mDecode);
    mState.mTellPlacers(std::move(message));
  }

  void Announce(const run_record& aRun)
  {
    mAnnounced = true;
    run_message message;
    message.mBegun.push_back(aRun);
    mState.mTellPlacers(std::move(message));
  }

  forward_state& mState;                   ///< State shared by the daemon's components.
  engine_calls<Wire> mEngines;             ///< Reservation and release calls.
  caller_exchange& mExchange;              ///< The caller's side; outlives this object.
  std::string mRequestId;                  ///< The request's id.
  std::uint64_t mPromptKey;                ///< Key of the prompt's own part.
  std::uint32_t mRank;                     ///< Priority of the route.
  std::string mService;                    ///< The service asked, once a placement was.
  suspect_trial& mTrial;                   ///< The request's trial; outlives this object.
  placement_choice mChoice;                ///< The chosen engines, once found.
  run_id mRun;                             ///< Id of the run, once in the table.
  endpoint mDecodeAddress;                 ///< Address of the decode engine.
  std::string mDecodeName;                 ///< Its id in service discovery.
  software_id mDecodeSoftware;             ///< Its software when its memory was reserved.
  std::string mDecodeSoftwareText;         ///< The version of that, as its entry stated it.
  std::optional<send_permit> mReadPermit;  ///< For the prefill.
  std::optional<send_permit> mRunPermit;   ///< For the reservation and the run.
  bool mHeld = false;                      ///< The last permits weren't granted.
  reservation mReservation;                ///< Granted and not used yet.
  no_place mNoPlace = no_place::eNoEngine; ///< Why the last attempt found no placement.
  duration mFreeIn{ 0 };                   ///< Expected time until there's room.
  duration mPlacementTime{ 0 };            ///< Time until engines were chosen.
  std::uint32_t mRefusals = 0;             ///< Reservations that weren't granted.
  bool mEngineRefused = false;             ///< The last engine asked refused the reservation.
  bool mPlacedLocally = true;              ///< This daemon chose by itself.
  bool mPlaced = false;                    ///< The run is in the placement table.
  bool mAnnounced = false;                 ///< The daemons that place know of the run.
};

} // namespace dunehook
